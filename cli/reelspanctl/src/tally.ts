import { ExitCode } from './exitCode.js'
import { readLogLines } from './readLogLines.js'
import { tallyLines } from './tallyLines.js'
import { tallyRequests } from './tallyRequests.js'

/** Prints how the requests of boxes' log lines ended, and how long those were held that were not served in time. */
export async function tally (files: readonly string[], json: boolean): Promise<ExitCode> {
  const { lines, unreadable } = await readLogLines(files)
  const tally = tallyRequests(lines, unreadable)
  if (tally.routes.length === 0) {
    console.error(`reelspanctl: none of ${lines.length} lines says how a request ended`)
    return ExitCode.Problems
  }
  console.log(json ? JSON.stringify(tally, null, 2) : tallyLines(tally).join('\n'))
  return ExitCode.Done
}
