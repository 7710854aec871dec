import { type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Attempt, isStream, mayRepeat } from './attempt.js'
import { groupBy } from './groupBy.js'

/** Statuses that promise that the request has not run and will not. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]
const OK = 200
const USUAL_EVENTS = 4
/** After its deadline a client must have its answer within this time. */
const ANSWER_SLACK_MS = 500

/**
 * Checks what clients saw against what upstreams saw, and says what does not
 * hold. It shares no code with the product.
 */
export function checkHistory (attempts: readonly Attempt[], runs: readonly UpstreamRun[]): string[] {
  const runsOf = groupBy(runs, ({ id }) => id)
  const known = new Set(attempts.map(({ id }) => id))
  return [
    ...[...runsOf.keys()].filter((id) => !known.has(id)).map((id) => `${id}: ran, and nobody sent it`),
    ...attempts.flatMap((attempt) => problemsOf(attempt, runsOf.get(attempt.id) ?? []).map((problem) => `${attempt.id} (${attempt.kind} at ${attempt.box}, status ${attempt.status ?? attempt.error}): ${problem}`)),
  ]
}

function problemsOf (attempt: Attempt, runs: readonly UpstreamRun[]): string[] {
  const { kind, status, body = '', endedAtMs, sentAtMs, deadlineMs, error, retryAfter, stoodStill } = attempt
  const whole = wholeBody(attempt)
  const problems: string[] = []
  if (!mayRepeat(kind) && runs.length > 1) problems.push(`ran ${runs.length} times`)
  if (!mayRepeat(kind) && runs.length > 0 && NOT_RUN_STATUSES.includes(status ?? 0)) problems.push('was refused as not run, and ran')
  if (status === OK && error === undefined && body !== whole) problems.push(`got another body: ${JSON.stringify(body)}`)
  if (status === OK && error !== undefined && !whole.startsWith(body)) problems.push(`got bytes that are not its own: ${JSON.stringify(body)}`)
  if (status === OK && runs.length === 0) problems.push('got an answer and did not run')
  if (status === 503 && retryAfter === undefined) problems.push('was refused without a time to return')
  if (endedAtMs === undefined) problems.push('has no end')
  else if (!stoodStill && endedAtMs - sentAtMs > deadlineMs + ANSWER_SLACK_MS) problems.push(`ended after ${Math.round(endedAtMs - sentAtMs)} ms`)
  return problems
}

function wholeBody ({ kind, id, events = USUAL_EVENTS }: Attempt): string {
  return isStream(kind) ? Array.from({ length: events }, (_, i) => `id: ${i}\ndata: ${id} ${i}\n\n`).join('') : `done ${id}`
}
