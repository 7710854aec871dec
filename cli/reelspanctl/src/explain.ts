import { ExitCode } from './exitCode.js'
import { explainRequest, explanationLines } from './explainRequest.js'
import { readLogLines } from './readLogLines.js'

/** Prints what the boxes' log lines, from files or standard input, say of a request. */
export async function explain (requestId: string, files: readonly string[], json: boolean): Promise<ExitCode> {
  const { lines, unreadable } = await readLogLines(files)
  const explanation = explainRequest(lines, requestId)
  if (unreadable > 0) console.error(`reelspanctl: ${unreadable} lines could not be read`)
  if (!explanation) {
    console.error(`reelspanctl: none of ${lines.length} lines names the request ${requestId}. An attempt is logged by the box that received it; a client's retry has an id of its own.`)
    return ExitCode.Problems
  }
  console.log(json ? JSON.stringify(explanation, null, 2) : explanationLines(requestId, explanation).join('\n'))
  return ExitCode.Done
}
