import { mkdir, mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type SoakResult } from './soak.js'

/** Saves the logs of the boxes, the faults and the violations of a run to files. Returns their folder. */
export async function saveLogs (seed: number, { logs, faults, violations }: Pick<SoakResult, 'logs' | 'faults' | 'violations'>, parentFolder = tmpdir()): Promise<string> {
  await mkdir(parentFolder, { recursive: true })
  const folder = await mkdtemp(join(parentFolder, `reelspan-soak-${seed}-`))
  await Promise.all(Object.entries(logs).map(([box, text]) => writeFile(join(folder, `${box}.log`), text)))
  await writeFile(join(folder, 'found.txt'), [...violations, '', ...faults, ''].join('\n'))
  return folder
}
