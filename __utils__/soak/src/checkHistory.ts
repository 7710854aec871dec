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
  const tries = groupBy(attempts, ({ id, resumes }) => resumes?.attempt ?? id)
  return [
    ...[...runsOf.keys()].filter((id) => !sentIds.has(id)).map((id) => `${id}: ran, but no client sent it`),
    ...attempts.flatMap((attempt) => violationsOf(attempt, runsOf.get(attempt.id) ?? []).map((violation) => `${attempt.id} (${attempt.kind} at ${attempt.box}, status ${attempt.status ?? attempt.error}): ${violation}`)),
    ...[...tries].flatMap(([id, triesOfStream]) => checkVersions(id, triesOfStream.flatMap((attempt) => runsOf.get(attempt.id) ?? []))),
  ]
}

/** Each run that goes on behind an event has the software version of a run that sent the event. */
function checkVersions (id: string, runs: readonly UpstreamRun[]): string[] {
  return runs.flatMap(({ resumedAfter, softwareVersion, instance }) => {
    if (resumedAfter === undefined) return []
    const senders = runs.filter((run) => (run.resumedAfter ?? -1) < resumedAfter && (run.resumedAfter ?? -1) + run.sentEvents >= resumedAfter)
    const hasSame = senders.some((run) => run.softwareVersion === softwareVersion)
    return hasSame ? [] : [`${id}: went on at ${instance}, version ${softwareVersion}, behind an event of version ${senders.map((run) => run.softwareVersion).join(', ')}`]
  })
}

function violationsOf (attempt: Attempt, runs: readonly UpstreamRun[]): string[] {
  const { kind, status, body = '', endedAtMs, sentAtMs, deadlineMs, error, retryAfter, wasStalled, resumes, unsigned } = attempt
  const expected = expectedBody(attempt)
  const violations: string[] = []
  if (!mayRunRepeatedly(kind) && runs.length > 1) violations.push(`ran ${runs.length} times`)
  if (!mayRunRepeatedly(kind) && runs.length > 0 && NOT_RUN_STATUSES.includes(status ?? 0)) violations.push('was refused as not run, but ran')
  if (status === OK && error === undefined && body !== expected) violations.push(`received an unexpected body: ${JSON.stringify(body)}`)
  if (status === OK && error !== undefined && !expected.startsWith(body)) violations.push(`received bytes that are not part of its answer: ${JSON.stringify(body)}`)
  if (status === OK && unsigned === true) violations.push('received a success without the signature of its upstream')
  if (status === OK && runs.length === 0) violations.push('received an answer, but did not run')
  // A stream whose version has gone, or is not known to anyone, cannot be taken up later either.
  if (status === 503 && retryAfter === undefined && resumes === undefined) violations.push('was refused without a Retry-After header')
  if (endedAtMs === undefined) violations.push('never ended')
  else if (!wasStalled && endedAtMs - sentAtMs > deadlineMs + DEADLINE_SLACK_MS) violations.push(`ended after ${Math.round(endedAtMs - sentAtMs)} ms`)
  return violations
}

function expectedBody ({ kind, id, events = DEFAULT_EVENT_COUNT, resumes }: Attempt): string {
  const first = resumes === undefined ? 0 : resumes.after + 1
  return isStream(kind) ? Array.from({ length: Math.max(0, events - first) }, (_, i) => `id: ${first + i}\ndata: ${id} ${first + i}\n\n`).join('') : `done ${id}`
}
