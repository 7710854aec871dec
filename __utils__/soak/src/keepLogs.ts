import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type SoakResult } from './soak.js'

/** Writes what the boxes of a run logged, what was done to them and what was found to files, and answers their folder. */
export async function keepLogs (seed: number, { logs, faults, violations }: Pick<SoakResult, 'logs' | 'faults' | 'violations'>, parent = tmpdir()): Promise<string> {
  const folder = await mkdtemp(join(parent, `reelspan-soak-${seed}-`))
  await Promise.all(Object.entries(logs).map(([box, text]) => writeFile(join(folder, `${box}.log`), text)))
  await writeFile(join(folder, 'found.txt'), [...violations, '', ...faults, ''].join('\n'))
  return folder
}
