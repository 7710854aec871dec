import { execFile } from 'node:child_process'
import { cp, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type Mechanism } from './mechanism.js'
import { MECHANISMS } from './mechanisms.js'

const MAX_OUTPUT_BYTES = 64_000_000

/** Disables one mechanism at a time in a copy of the workspace and checks that its tests fail. With filters, checks only mechanisms whose name contains one of them. */
export async function checkMechanisms (workspace: string, nameFilters: readonly string[] = []): Promise<void> {
  const workspaceCopy = await mkdtemp(join(tmpdir(), 'reelspan-mechanisms-'))
  try {
    await cp(workspace, workspaceCopy, { recursive: true, verbatimSymlinks: true, filter: (path) => !path.endsWith('/.git') })
    const untested = []
    const selected = MECHANISMS.filter(({ name }) => nameFilters.length === 0 || nameFilters.some((nameFilter) => name.includes(nameFilter)))
    for (const mechanism of selected) {
      const failed = await findFailingTests(workspaceCopy, mechanism)
      console.log(`${failed.length > 0 ? 'proved  ' : 'UNPROVED'}  ${mechanism.name}: ${failed.length} tests fail without it`)
      failed.forEach((title) => console.log(`            ${title}`))
      if (failed.length === 0) untested.push(mechanism.name)
    }
    if (untested.length > 0) throw new Error(`no test fails with these mechanisms disabled: ${untested.join('; ')}`)
  } finally {
    await rm(workspaceCopy, { recursive: true, force: true })
  }
}

async function findFailingTests (workspaceCopy: string, { name, file, find, replace, tests }: Mechanism): Promise<string[]> {
  const path = join(workspaceCopy, file)
  const source = await readFile(path, 'utf8')
  if (!source.includes(find)) throw new Error(`${file} does not contain the code of the mechanism "${name}"`)
  await writeFile(path, source.replace(find, replace))
  try {
    // The replaced code may leave names unused, which the compiler does not report as errors.
    await runCommand(workspaceCopy, 'npx', ['tsc', '-b'])
    const report = await runCommand(workspaceCopy, 'npx', ['ava', '--tap', ...tests])
    return report.split('\n').filter((line) => line.startsWith('not ok')).map((line) => line.replace(/^not ok \d+ - /, ''))
  } finally {
    await writeFile(path, source)
  }
}

function runCommand (cwd: string, command: string, args: readonly string[]): Promise<string> {
  return new Promise((resolve) => execFile(command, args, { cwd, maxBuffer: MAX_OUTPUT_BYTES }, (_error, out) => resolve(out)))
}
