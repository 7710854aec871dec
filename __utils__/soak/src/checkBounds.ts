import { type UpstreamArrival, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Attempt, RouteKind, TIMER_ROUNDING_MS } from './attempt.js'
import { groupBy } from './groupBy.js'
import { DisruptionKind } from './disruptionLog.js'
import { type TimeInterval } from './timeInterval.js'

/** An upstream that started draining, or whose entry was removed while it keeps serving. */
export interface Departure {
  instance: string
  atMs: number
}

/** A version of the configuration that the store acknowledged. It has a route that no other version has. */
export interface Publication {
  version: number
  path: string
  atMs: number
}

/** A call to the probe route of one version at one box. */
export interface Probe {
  box: string
  /** The process of the box that it was sent to. */
  incarnation: string
  version: number
  sentAtMs: number
  endedAtMs: number
  status: number
}

/** A SIGTERM to a box. */
export interface PlannedStop {
  box: string
  atMs: number
}

/** Everything that the checks examine. Times are on `performance.now()`. */
export interface CheckedHistory {
  attempts: readonly Attempt[]
  runs: readonly UpstreamRun[]
  arrivals: readonly UpstreamArrival[]
  departures: readonly Departure[]
  publications: readonly Publication[]
  probes: readonly Probe[]
  stops: readonly PlannedStop[]
  /** Whether the box, the store and the given upstreams were undisrupted within an interval, and the harness and the box got processor time. */
  isUndisrupted: (box: string, instances: readonly string[], within: TimeInterval, kinds?: readonly DisruptionKind[]) => boolean
}

/** Violations, and the number of cases that each check examined. */
export interface SoakCheckResult {
  violations: string[]
  checkCounts: Record<string, number>
}

/** Time bounds hold for a box that has been undisrupted for this long. */
const SETTLE_MS = 3000
const DEPARTURE_BOUND_MS = 2000
const CONFIGURATION_BOUND_MS = 2000
/** Requests that are sent this long after a version was first seen at a box must be served by that version or a newer one. */
const REVERT_SLACK_MS = 250
/** An aborted request causes no further cost at any upstream after this time. */
const ABORT_BOUND_MS = 500
/** Covers loopback, two event loops and the proxy between them. */
const MAX_TRANSIT_MS = 100
const STOP_GRACE_MS = 8000
/** A request that a box accepts later than this after SIGTERM must be answered completely or refused. */
const LATE_REQUEST_AFTER_TERM_MS = 3000
/** A request that was sent early may be interrupted if its run ends in the last sixth of the grace period or later. */
const EXCUSED_RUN_END_MS = STOP_GRACE_MS * 5 / 6
/** A connection that closes within this time after a request was sent may have closed before the box read the request. */
const CLOSE_RACE_MS = 300
const NO_ROUTE = 404
const OK = 200

/** Checks all guarantees that have a time bound, for boxes that were undisrupted. Shares no code with the product. */
export function checkBounds (history: CheckedHistory): SoakCheckResult {
  const checks = { leaving: checkDepartures(history), gone: checkAbortedRequests(history), cut: checkInterruptedRequests(history), configuration: checkConfigurations(history), reverts: checkReverts(history) }
  return {
    violations: Object.values(checks).flatMap((findings) => findings.filter((violation) => violation !== undefined)),
    checkCounts: Object.fromEntries(Object.entries(checks).map(([name, findings]) => [name, findings.length])),
  }
}

type Findings = (string | undefined)[]

/** No new request reaches an upstream later than the bound after the store recorded that it drains. Examines requests to any upstream while a draining one could still be used. */
function checkDepartures ({ attempts, arrivals, departures, isUndisrupted }: CheckedHistory): Findings {
  const boxOf = new Map(attempts.map(({ id, box }) => [id, box]))
  const departedAtMsOf = new Map(departures.map(({ instance, atMs }) => [instance, atMs]))
  const isPastBound = (atMs: number) => departures.some((departure) => atMs > departure.atMs + DEPARTURE_BOUND_MS && atMs < departure.atMs + DEPARTURE_BOUND_MS + SETTLE_MS)
  return arrivals.flatMap(({ id, instance, atMs }) => {
    const afterMs = atMs - (departedAtMsOf.get(instance) ?? Number.POSITIVE_INFINITY)
    const box = boxOf.get(id) ?? ''
    if (afterMs <= DEPARTURE_BOUND_MS && !isPastBound(atMs)) return []
    if (!isUndisrupted(box, [instance], { fromMs: atMs - SETTLE_MS, toMs: atMs })) return []
    return [afterMs > DEPARTURE_BOUND_MS ? `${id} reached ${instance} from ${box} ${Math.round(afterMs)} ms after the store recorded that it drains` : undefined]
  })
}

/** After a client has aborted a request, the request reaches no further upstream, and its running work is stopped, except for calls that may run at most once. */
function checkAbortedRequests ({ attempts, runs, arrivals, isUndisrupted }: CheckedHistory): Findings {
  const runsOf = groupBy(runs, ({ id }) => id)
  const arrivalsOf = groupBy(arrivals, ({ id }) => id)
  return attempts.flatMap(({ id, kind, box, abortedAtMs }) => {
    if (abortedAtMs === undefined) return []
    const ownArrivals = arrivalsOf.get(id) ?? []
    const boundMs = abortedAtMs + ABORT_BOUND_MS + MAX_TRANSIT_MS
    if (!isUndisrupted(box, ownArrivals.map(({ instance }) => instance), { fromMs: abortedAtMs - SETTLE_MS, toMs: boundMs })) return []
    const lateArrivals = ownArrivals.filter(({ atMs }) => atMs > boundMs)
    const unfinishedRuns = kind === RouteKind.Once ? [] : (runsOf.get(id) ?? []).filter(({ endedAtMs = Number.POSITIVE_INFINITY }) => endedAtMs > boundMs)
    if (lateArrivals.length > 0) return [`${id} (${kind} at ${box}) reached ${lateArrivals[0].instance} ${Math.round(lateArrivals[0].atMs - abortedAtMs)} ms after its client had aborted it`]
    return [unfinishedRuns.length > 0 ? `${id} (${kind} at ${box}) was still running at ${unfinishedRuns[0].instance} more than ${ABORT_BOUND_MS} ms after its client had aborted it` : undefined]
  })
}

/** Planned work interrupts no request that a box has read. */
function checkInterruptedRequests ({ attempts, runs, arrivals, stops, isUndisrupted }: CheckedHistory): Findings {
  const runsOf = groupBy(runs, ({ id }) => id)
  const arrivalsOf = groupBy(arrivals, ({ id }) => id)
  const stopsOf = groupBy(stops, ({ box }) => box)
  return attempts.flatMap((attempt) => {
    const { id, kind, box, sentAtMs, endedAtMs, deadlineMs, error, abortedAtMs } = attempt
    if (abortedAtMs !== undefined || endedAtMs === undefined) return []
    const stop = (stopsOf.get(box) ?? []).findLast(({ atMs }) => atMs <= endedAtMs && endedAtMs <= atMs + STOP_GRACE_MS + SETTLE_MS)
    const fromMs = Math.min(sentAtMs, stop?.atMs ?? sentAtMs) - SETTLE_MS
    const instances = (arrivalsOf.get(id) ?? []).map(({ instance }) => instance)
    if (!isUndisrupted(box, instances, { fromMs, toMs: endedAtMs }, [DisruptionKind.Unplanned])) return []
    const tookMs = endedAtMs - sentAtMs
    const wasRead = instances.length > 0 || tookMs > CLOSE_RACE_MS
    if (error === undefined || !wasRead || tookMs >= deadlineMs - TIMER_ROUNDING_MS) return [undefined]
    const ownRuns = runsOf.get(id) ?? []
    if (ownRuns.some(({ answerLost }) => answerLost)) return [undefined]
    const isExcused = stop && sentAtMs <= stop.atMs + LATE_REQUEST_AFTER_TERM_MS && ownRuns.some(({ endedAtMs: runEndMs = Number.POSITIVE_INFINITY }) => runEndMs >= stop.atMs + EXCUSED_RUN_END_MS)
    if (isExcused) return [undefined]
    const when = stop ? `, sent ${Math.round(sentAtMs - stop.atMs)} ms and interrupted ${Math.round(endedAtMs - stop.atMs)} ms after SIGTERM` : ''
    return [`${id} (${kind} at ${box}) was interrupted after ${Math.round(tookMs)} ms though only planned work was going on${when}: ${error}`]
  })
}

/** A new configuration takes effect within its bound. */
function checkConfigurations ({ probes, publications, isUndisrupted }: CheckedHistory): Findings {
  const publicationOf = new Map(publications.map((publication) => [publication.version, publication]))
  return probes.flatMap(({ box, version, sentAtMs, endedAtMs, status }) => {
    const publishedAtMs = publicationOf.get(version)?.atMs ?? Number.POSITIVE_INFINITY
    const replacedAtMs = publicationOf.get(version + 1)?.atMs ?? Number.POSITIVE_INFINITY
    const isSettled = () => isUndisrupted(box, [], { fromMs: sentAtMs - SETTLE_MS, toMs: endedAtMs })
    if (status === NO_ROUTE && endedAtMs < replacedAtMs && sentAtMs > publishedAtMs + CONFIGURATION_BOUND_MS && isSettled()) return [`${box} does not know version ${version} ${Math.round(sentAtMs - publishedAtMs)} ms after it was published`]
    if (status === OK && sentAtMs > replacedAtMs + CONFIGURATION_BOUND_MS && isSettled()) return [`${box} still serves version ${version} ${Math.round(sentAtMs - replacedAtMs)} ms after it was replaced`]
    return [undefined]
  })
}

/** One process of a box never returns to an older version. */
function checkReverts ({ probes, publications }: CheckedHistory): Findings {
  const publishedAtMsOf = new Map(publications.map(({ version, atMs }) => [version, atMs]))
  return [...groupBy(probes, ({ incarnation }) => incarnation).values()].flatMap((incarnationProbes) => incarnationProbes.map(({ box, version, sentAtMs, endedAtMs, status }) => {
    const knownVersions = incarnationProbes.filter((probe) => probe.status === OK && probe.endedAtMs + REVERT_SLACK_MS < sentAtMs).map((probe) => probe.version)
    const newest = Math.max(...knownVersions, 0)
    const isReplaced = endedAtMs >= (publishedAtMsOf.get(version + 1) ?? Number.POSITIVE_INFINITY)
    const isReverted = (status === OK && version < newest) || (status === NO_ROUTE && version === newest && !isReplaced)
    return isReverted ? `${box} reverted from version ${newest}: a probe of version ${version} was answered with ${status}` : undefined
  }))
}
