import { execFile } from 'node:child_process'
import { cp, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type Mechanism, MECHANISMS } from './mechanisms.js'

const MAX_OUTPUT_BYTES = 64_000_000

/** Puts one mechanism after the other out of action, in a copy of the workspace, and sees that its tests fail then. With words, those alone whose names have one of them. */
export async function checkMechanisms (workspace: string, words: readonly string[] = []): Promise<void> {
  const copy = await mkdtemp(join(tmpdir(), 'reelspan-mechanisms-'))
  try {
    await cp(workspace, copy, { recursive: true, verbatimSymlinks: true, filter: (path) => !path.endsWith('/.git') })
    const unproved = []
    const chosen = MECHANISMS.filter(({ name }) => words.length === 0 || words.some((word) => name.includes(word)))
    for (const mechanism of chosen) {
      const failed = await failingTests(copy, mechanism)
      console.log(`${failed.length > 0 ? 'proved  ' : 'UNPROVED'}  ${mechanism.name}: without it ${failed.length} tests fail`)
      failed.forEach((title) => console.log(`            ${title}`))
      if (failed.length === 0) unproved.push(mechanism.name)
    }
    if (unproved.length > 0) throw new Error(`no test fails without: ${unproved.join('; ')}`)
  } finally {
    await rm(copy, { recursive: true, force: true })
  }
}

async function failingTests (copy: string, { name, file, find, replace, tests }: Mechanism): Promise<string[]> {
  const path = join(copy, file)
  const source = await readFile(path, 'utf8')
  if (!source.includes(find)) throw new Error(`${file} has changed: the mechanism «${name}» is not found`)
  await writeFile(path, source.replace(find, replace))
  try {
    // Unused names that are left behind are no error to the compiler.
    await run(copy, 'npx', ['tsc', '-b'])
    const report = await run(copy, 'npx', ['ava', '--tap', ...tests])
    return report.split('\n').filter((line) => line.startsWith('not ok')).map((line) => line.replace(/^not ok \d+ - /, ''))
  } finally {
    await writeFile(path, source)
  }
}

function run (cwd: string, command: string, args: readonly string[]): Promise<string> {
  return new Promise((resolve) => execFile(command, args, { cwd, maxBuffer: MAX_OUTPUT_BYTES }, (_error, out) => resolve(out)))
}
