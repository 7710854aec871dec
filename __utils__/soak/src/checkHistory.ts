import { type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Attempt, isStream, mayRunRepeatedly } from './attempt.js'
import { groupBy } from './groupBy.js'

/** Statuses that guarantee that the request has not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]
const OK = 200
const DEFAULT_EVENT_COUNT = 4
/** A client must have its answer within this time after the deadline. */
const DEADLINE_SLACK_MS = 500

/**
 * Compares what clients saw with what upstreams saw, and returns the violations.
 * Shares no code with the product.
 */
export function checkHistory (attempts: readonly Attempt[], runs: readonly UpstreamRun[]): string[] {
  const runsOf = groupBy(runs, ({ id }) => id)
  const sentIds = new Set(attempts.map(({ id }) => id))
  return [
    ...[...runsOf.keys()].filter((id) => !sentIds.has(id)).map((id) => `${id}: ran, but no client sent it`),
    ...attempts.flatMap((attempt) => violationsOf(attempt, runsOf.get(attempt.id) ?? []).map((violation) => `${attempt.id} (${attempt.kind} at ${attempt.box}, status ${attempt.status ?? attempt.error}): ${violation}`)),
  ]
}

function violationsOf (attempt: Attempt, runs: readonly UpstreamRun[]): string[] {
  const { kind, status, body = '', endedAtMs, sentAtMs, deadlineMs, error, retryAfter, wasStalled } = attempt
  const expected = expectedBody(attempt)
  const violations: string[] = []
  if (!mayRunRepeatedly(kind) && runs.length > 1) violations.push(`ran ${runs.length} times`)
  if (!mayRunRepeatedly(kind) && runs.length > 0 && NOT_RUN_STATUSES.includes(status ?? 0)) violations.push('was refused as not run, but ran')
  if (status === OK && error === undefined && body !== expected) violations.push(`received an unexpected body: ${JSON.stringify(body)}`)
  if (status === OK && error !== undefined && !expected.startsWith(body)) violations.push(`received bytes that are not part of its answer: ${JSON.stringify(body)}`)
  if (status === OK && runs.length === 0) violations.push('received an answer, but did not run')
  if (status === 503 && retryAfter === undefined) violations.push('was refused without a Retry-After header')
  if (endedAtMs === undefined) violations.push('never ended')
  else if (!wasStalled && endedAtMs - sentAtMs > deadlineMs + DEADLINE_SLACK_MS) violations.push(`ended after ${Math.round(endedAtMs - sentAtMs)} ms`)
  return violations
}

function expectedBody ({ kind, id, events = DEFAULT_EVENT_COUNT }: Attempt): string {
  return isStream(kind) ? Array.from({ length: events }, (_, i) => `id: ${i}\ndata: ${id} ${i}\n\n`).join('') : `done ${id}`
}
