import { ExitCode } from './exitCode.js'
import { readLogLines } from './readLogLines.js'
import { tallyLines } from './tallyLines.js'
import { tallyRequests } from './tallyRequests.js'

/** Prints the outcomes of the requests in boxes' log lines, and the latencies of those that were not served in time. */
export async function tally (files: readonly string[], json: boolean): Promise<ExitCode> {
  const { lines, unreadable } = await readLogLines(files)
  const tally = tallyRequests(lines, unreadable)
  if (tally.routes.length === 0) {
    console.error(`reelspanctl: none of ${lines.length} lines has the outcome of a request`)
    return ExitCode.Problems
  }
  console.log(json ? JSON.stringify(tally, null, 2) : tallyLines(tally).join('\n'))
  return ExitCode.Done
}
