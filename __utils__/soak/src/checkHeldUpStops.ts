import { type UpstreamArrival, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Attempt } from './attempt.js'
import { type PlannedStop, type SoakCheckResult } from './checkBounds.js'
import { groupBy } from './groupBy.js'
import { type TimeInterval } from './timeInterval.js'

export interface HeldUpStopHistory {
  attempts: readonly Attempt[]
  arrivals: readonly UpstreamArrival[]
  runs: readonly UpstreamRun[]
  /** Stops of boxes that were held up around their signal. */
  stops: readonly PlannedStop[]
  /** Whether the box or one of the upstreams exited, or its paths were faulty, within an interval. Planned work and hold-ups do not count. */
  wasInterrupted: (box: string, instances: readonly string[], within: TimeInterval) => boolean
}

const STOP_GRACE_MS = 8000
/** A request that a box accepts later than this after SIGTERM must be answered completely or refused. */
const LATE_REQUEST_AFTER_TERM_MS = 3000
/** Covers loopback, the harness and the end of a process. */
const MAX_TRANSIT_MS = 200

/** Checks that a box which was held up around SIGTERM interrupts no request that was sent late and that it has passed on. */
export function checkHeldUpStops ({ attempts, arrivals, runs, stops, wasInterrupted }: HeldUpStopHistory): SoakCheckResult {
  const arrivalsOf = groupBy(arrivals, ({ id }) => id)
  const lostIds = new Set(runs.filter(({ answerLost }) => answerLost).map(({ id }) => id))
  const findings = stops.flatMap(({ box, atMs }) => attempts.flatMap((attempt): (string | undefined)[] => {
    const { id, kind, sentAtMs, endedAtMs = Number.POSITIVE_INFINITY, abortedAtMs, deadlineMs, error } = attempt
    const instances = (arrivalsOf.get(id) ?? []).map(({ instance }) => instance)
    const isLate = attempt.box === box && sentAtMs >= atMs + LATE_REQUEST_AFTER_TERM_MS && sentAtMs <= atMs + STOP_GRACE_MS
    if (!isLate || abortedAtMs !== undefined) return []
    const isOwnEnd = endedAtMs <= atMs + STOP_GRACE_MS + MAX_TRANSIT_MS
    if (error === undefined || instances.length === 0 || !isOwnEnd || endedAtMs - sentAtMs >= deadlineMs || lostIds.has(id)) return [undefined]
    if (wasInterrupted(box, instances, { fromMs: sentAtMs, toMs: endedAtMs })) return [undefined]
    return [`${id} (${kind} at ${box}) was sent ${Math.round(sentAtMs - atMs)} ms after the SIGTERM of a box that was held up, and interrupted ${Math.round(endedAtMs - atMs)} ms after it: ${error}`]
  }))
  return { violations: findings.filter((violation) => violation !== undefined), checkCounts: { sentLate: findings.length } }
}
