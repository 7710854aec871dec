import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type SoakResult } from './soak.js'

/** Writes what the boxes of a run logged to files, and answers their folder. */
export async function keepLogs (seed: number, { logs }: Pick<SoakResult, 'logs'>): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), `reelspan-soak-${seed}-`))
  await Promise.all(Object.entries(logs).map(([box, text]) => writeFile(join(folder, `${box}.log`), text)))
  return folder
}
