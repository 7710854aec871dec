import { ExitCode } from './exitCode.js'
import { explainRequest, explanationLines } from './explainRequest.js'
import { readLogLines } from './readLogLines.js'

/** Prints the trace of a request and its likely cause, from the boxes' log lines in files or standard input. */
export async function explain (requestId: string, files: readonly string[], json: boolean): Promise<ExitCode> {
  const { lines, unreadable } = await readLogLines(files)
  const explanation = explainRequest(lines, requestId)
  if (unreadable > 0) console.error(`reelspanctl: ${unreadable} lines could not be read`)
  if (!explanation) {
    console.error(`reelspanctl: none of ${lines.length} lines names the request ${requestId}. Each attempt is logged by the box that received it, and a client's retry has a new id.`)
    return ExitCode.Problems
  }
  console.log(json ? JSON.stringify(explanation, null, 2) : explanationLines(requestId, explanation).join('\n'))
  return ExitCode.Done
}
