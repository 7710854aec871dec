import { type UpstreamArrival, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Attempt, RouteKind } from './attempt.js'
import { groupBy } from './groupBy.js'
import { HarmKind } from './harmLog.js'
import { type Stall } from './stallWatch.js'

/** An upstream that said that it leaves, or went from the list and serves on. */
export interface Departure {
  instance: string
  atMs: number
}

/** A configuration that the store acknowledged, with a route that no other one has. */
export interface Publication {
  version: number
  path: string
  atMs: number
}

/** A call of a version's own route at one box. */
export interface Probe {
  box: string
  /** Which life of the box it was sent to. */
  life: string
  version: number
  sentAtMs: number
  endedAtMs: number
  status: number
}

/** A box that was given SIGTERM. */
export interface PlannedStop {
  box: string
  atMs: number
}

/** What is judged. Times are on `performance.now()`. */
export interface BoundedHistory {
  attempts: readonly Attempt[]
  runs: readonly UpstreamRun[]
  arrivals: readonly UpstreamArrival[]
  departures: readonly Departure[]
  publications: readonly Publication[]
  probes: readonly Probe[]
  stops: readonly PlannedStop[]
  /** Whether nothing harmed a box or the store, nor the upstreams named, nor was the machine without processor time. */
  isUnharmed: (box: string, instances: readonly string[], within: Stall, kinds?: readonly HarmKind[]) => boolean
}

/** What did not hold, and how much was looked at. */
export interface BoundedVerdict {
  violations: string[]
  judged: Record<string, number>
}

/** Bounds hold for a box that was unharmed for so long. */
const CONTACT_MS = 3000
const LEAVING_BOUND_MS = 2000
const CONFIGURATION_BOUND_MS = 2000
/** A version that was seen at a box is in force in what is sent to it this much later. */
const REVERT_SLACK_MS = 250
/** A caller that left has cost an upstream everything that it will by then. */
const GONE_BOUND_MS = 500
/** Loopback, two event loops and the proxy between them. */
const TRANSIT_MS = 100
const GRACE_MS = 8000
/** A request taken later than this after SIGTERM must be answered whole, or refused. */
const LATE_AFTER_TERM_MS = 3000
/** Runs that end later than this in the grace excuse a cut of what was sent early. */
const LAST_SIXTH_MS = GRACE_MS * 5 / 6
/** A connection that closes sooner after a request crossed it on the way. */
const CROSSED_MS = 300
const NO_ROUTE = 404
const OK = 200

/** Judges what has a bound in time, for boxes that were unharmed. It shares no code with the product. */
export function checkBounds (history: BoundedHistory): BoundedVerdict {
  const checks = { leaving: checkLeaving(history), gone: checkGone(history), cut: checkCut(history), configuration: checkConfiguration(history), reverts: checkReverts(history) }
  return {
    violations: Object.values(checks).flatMap((found) => found.filter((problem) => problem !== undefined)),
    judged: Object.fromEntries(Object.entries(checks).map(([name, found]) => [name, found.length])),
  }
}

type Found = (string | undefined)[]

/** No new work reaches an upstream later than the bound after the store took its word that it leaves. Judged is what arrives anywhere while one that left could still be used. */
function checkLeaving ({ attempts, arrivals, departures, isUnharmed }: BoundedHistory): Found {
  const boxOf = new Map(attempts.map(({ id, box }) => [id, box]))
  const departedAtMs = new Map(departures.map(({ instance, atMs }) => [instance, atMs]))
  const isPastBound = (atMs: number) => departures.some((departure) => atMs > departure.atMs + LEAVING_BOUND_MS && atMs < departure.atMs + LEAVING_BOUND_MS + CONTACT_MS)
  return arrivals.flatMap(({ id, instance, atMs }) => {
    const afterMs = atMs - (departedAtMs.get(instance) ?? Number.POSITIVE_INFINITY)
    const box = boxOf.get(id) ?? ''
    if (afterMs <= LEAVING_BOUND_MS && !isPastBound(atMs)) return []
    if (!isUnharmed(box, [instance], { fromMs: atMs - CONTACT_MS, toMs: atMs })) return []
    return [afterMs > LEAVING_BOUND_MS ? `${id} reached ${instance} from ${box} ${Math.round(afterMs)} ms after the store took its leaving` : undefined]
  })
}

/** A caller that left costs an upstream nothing new, and no work that it does for nobody. */
function checkGone ({ attempts, runs, arrivals, isUnharmed }: BoundedHistory): Found {
  const runsOf = groupBy(runs, ({ id }) => id)
  const arrivalsOf = groupBy(arrivals, ({ id }) => id)
  return attempts.flatMap(({ id, kind, box, leftAtMs }) => {
    if (leftAtMs === undefined) return []
    const arrived = arrivalsOf.get(id) ?? []
    const boundMs = leftAtMs + GONE_BOUND_MS + TRANSIT_MS
    if (!isUnharmed(box, arrived.map(({ instance }) => instance), { fromMs: leftAtMs - CONTACT_MS, toMs: boundMs })) return []
    const late = arrived.filter(({ atMs }) => atMs > boundMs)
    const atWork = kind === RouteKind.Once ? [] : (runsOf.get(id) ?? []).filter(({ endedAtMs = Number.POSITIVE_INFINITY }) => endedAtMs > boundMs)
    if (late.length > 0) return [`${id} (${kind} at ${box}) reached ${late[0].instance} ${Math.round(late[0].atMs - leftAtMs)} ms after its caller had left`]
    return [atWork.length > 0 ? `${id} (${kind} at ${box}) was at work at ${atWork[0].instance} more than ${GONE_BOUND_MS} ms after its caller had left` : undefined]
  })
}

/** Planned work cuts off no request that was read. */
function checkCut ({ attempts, runs, arrivals, stops, isUnharmed }: BoundedHistory): Found {
  const runsOf = groupBy(runs, ({ id }) => id)
  const arrivalsOf = groupBy(arrivals, ({ id }) => id)
  const stopsOf = groupBy(stops, ({ box }) => box)
  return attempts.flatMap((attempt) => {
    const { id, kind, box, sentAtMs, endedAtMs, deadlineMs, error, leftAtMs } = attempt
    if (leftAtMs !== undefined || endedAtMs === undefined) return []
    const stop = (stopsOf.get(box) ?? []).findLast(({ atMs }) => atMs <= endedAtMs && endedAtMs <= atMs + GRACE_MS + CONTACT_MS)
    const fromMs = Math.min(sentAtMs, stop?.atMs ?? sentAtMs) - CONTACT_MS
    const instances = (arrivalsOf.get(id) ?? []).map(({ instance }) => instance)
    if (!isUnharmed(box, instances, { fromMs, toMs: endedAtMs }, [HarmKind.Unplanned])) return []
    const tookMs = endedAtMs - sentAtMs
    const wasRead = instances.length > 0 || tookMs > CROSSED_MS
    if (error === undefined || !wasRead || tookMs >= deadlineMs) return [undefined]
    const theirs = runsOf.get(id) ?? []
    if (theirs.some(({ answerLost }) => answerLost)) return [undefined]
    const isExcused = stop && sentAtMs <= stop.atMs + LATE_AFTER_TERM_MS && theirs.some(({ endedAtMs: runEndMs = Number.POSITIVE_INFINITY }) => runEndMs >= stop.atMs + LAST_SIXTH_MS)
    if (isExcused) return [undefined]
    const when = stop ? `, sent ${Math.round(sentAtMs - stop.atMs)} ms and cut ${Math.round(endedAtMs - stop.atMs)} ms after SIGTERM` : ''
    return [`${id} (${kind} at ${box}) was cut after ${Math.round(tookMs)} ms though nothing but planned work went on${when}: ${error}`]
  })
}

/** A configuration is in force within its bound. */
function checkConfiguration ({ probes, publications, isUnharmed }: BoundedHistory): Found {
  const ofVersion = new Map(publications.map((publication) => [publication.version, publication]))
  return probes.flatMap(({ box, version, sentAtMs, endedAtMs, status }) => {
    const publishedAtMs = ofVersion.get(version)?.atMs ?? Number.POSITIVE_INFINITY
    const replacedAtMs = ofVersion.get(version + 1)?.atMs ?? Number.POSITIVE_INFINITY
    const isInTouch = () => isUnharmed(box, [], { fromMs: sentAtMs - CONTACT_MS, toMs: endedAtMs })
    if (status === NO_ROUTE && endedAtMs < replacedAtMs && sentAtMs > publishedAtMs + CONFIGURATION_BOUND_MS && isInTouch()) return [`${box} does not know version ${version} ${Math.round(sentAtMs - publishedAtMs)} ms after it was published`]
    if (status === OK && sentAtMs > replacedAtMs + CONFIGURATION_BOUND_MS && isInTouch()) return [`${box} still serves version ${version} ${Math.round(sentAtMs - replacedAtMs)} ms after it was replaced`]
    return [undefined]
  })
}

/** Within one life of a box, no older version comes back. */
function checkReverts ({ probes, publications }: BoundedHistory): Found {
  const publishedAtMs = new Map(publications.map(({ version, atMs }) => [version, atMs]))
  return [...groupBy(probes, ({ life }) => life).values()].flatMap((those) => those.map(({ box, version, sentAtMs, endedAtMs, status }) => {
    const known = those.filter((probe) => probe.status === OK && probe.endedAtMs + REVERT_SLACK_MS < sentAtMs).map((probe) => probe.version)
    const newest = Math.max(...known, 0)
    const isReplaced = endedAtMs >= (publishedAtMs.get(version + 1) ?? Number.POSITIVE_INFINITY)
    const isReverted = (status === OK && version < newest) || (status === NO_ROUTE && version === newest && !isReplaced)
    return isReverted ? `${box} went back from version ${newest}: version ${version} is answered with ${status}` : undefined
  }))
}
