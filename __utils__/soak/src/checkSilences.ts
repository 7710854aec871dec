import { type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Attempt, TIMER_ROUNDING_MS } from './attempt.js'
import { type PlannedStop, type SoakCheckResult } from './checkBounds.js'
import { groupBy } from './groupBy.js'
import { type EngineSilence } from './silenceInjector.js'
import { type TimeInterval } from './timeInterval.js'

export interface SilenceHistory {
  attempts: readonly Attempt[]
  runs: readonly UpstreamRun[]
  silences: readonly EngineSilence[]
  stops: readonly PlannedStop[]
  /** Whether the box or one of the upstreams exited, or its paths were faulty, within an interval. Silences do not count. */
  wasInterrupted: (box: string, instances: readonly string[], within: TimeInterval) => boolean
}

type Findings = (string | undefined)[]

/** A superseded run has ended after this time. */
const SUPERSEDED_BOUND_MS = 500
/** Covers loopback, two event loops and the proxy between them. */
const MAX_TRANSIT_MS = 100
const STOP_GRACE_MS = 8000
/** A stopping box may cut an answer in the last sixth of its grace period. */
const STOP_CUTS_AFTER_MS = STOP_GRACE_MS * 5 / 6
const OK = 200

/** Checks that silent engines cost no answer, and that no request stays on two of them. */
export function checkSilences (history: SilenceHistory): SoakCheckResult {
  const checks = { begun: checkBegunAnswers(history), superseded: checkSupersededRuns(history) }
  return {
    violations: Object.values(checks).flatMap((findings) => findings.filter((violation) => violation !== undefined)),
    checkCounts: Object.fromEntries(Object.entries(checks).map(([name, findings]) => [name, findings.length])),
  }
}

/** An answer that has begun is cut only if its engine exited or was cut off, its box was killed, or its deadline has passed. Examines answers with a run at a silent engine. */
function checkBegunAnswers ({ attempts, runs, silences, stops, wasInterrupted }: SilenceHistory): Findings {
  const runsOf = groupBy(runs, ({ id }) => id)
  return attempts.flatMap(({ id, kind, box, status, error, sentAtMs, endedAtMs, abortedAtMs, deadlineMs }) => {
    const ownRuns = runsOf.get(id) ?? []
    if (status !== OK || abortedAtMs !== undefined || endedAtMs === undefined || !ownRuns.some((run) => silencesOf(run, silences).length > 0)) return []
    if (error === undefined || endedAtMs - sentAtMs >= deadlineMs - TIMER_ROUNDING_MS || ownRuns.some(({ answerLost }) => answerLost)) return [undefined]
    if (stops.some((stop) => stop.box === box && endedAtMs >= stop.atMs + STOP_CUTS_AFTER_MS && endedAtMs <= stop.atMs + STOP_GRACE_MS + MAX_TRANSIT_MS)) return [undefined]
    if (wasInterrupted(box, ownRuns.map(({ instance }) => instance), { fromMs: sentAtMs, toMs: endedAtMs })) return [undefined]
    const described = ownRuns.map((run) => `${run.instance} (silent ${silencesOf(run, silences).map(({ fromMs, toMs }) => `from ${Math.round(fromMs - sentAtMs)} to ${Math.round(toMs - sentAtMs)} ms`).join(', ') || 'never'})`)
    return [`${id} (${kind} at ${box}) was cut after ${Math.round(endedAtMs - sentAtMs)} ms, run by ${described.join(', ')}: ${error}`]
  })
}

/** Once one of two runs of a request has sent the next event, the other one ends, at the latest soon after its engine reads again. */
function checkSupersededRuns ({ attempts, runs, silences, wasInterrupted }: SilenceHistory): Findings {
  const attemptOf = new Map(attempts.map((attempt) => [attempt.id, attempt]))
  return [...groupBy(runs, ({ id }) => id)].flatMap(([id, ownRuns]) => pairsOf(ownRuns).flatMap(([first, second]) => {
    const attempt = attemptOf.get(id)
    const bothSinceMs = Math.max(first.startedAtMs, second.startedAtMs)
    const bothUntilMs = Math.min(endOf(first), endOf(second))
    const goesOnAtMs = Math.min(...[first, second].flatMap(({ eventsAtMs = [] }) => eventsAtMs).filter((atMs) => atMs > bothSinceMs))
    if (attempt === undefined || bothUntilMs <= bothSinceMs || goesOnAtMs > bothUntilMs) return []
    const readAtMs = Math.max(goesOnAtMs, ...[first, second].flatMap((run) => silencesOf(run, silences)).filter(({ fromMs }) => fromMs < goesOnAtMs + SUPERSEDED_BOUND_MS).map(({ toMs }) => toMs))
    if (bothUntilMs <= readAtMs + SUPERSEDED_BOUND_MS + MAX_TRANSIT_MS) return [undefined]
    if (attempt.wasStalled || wasInterrupted(attempt.box, [first.instance, second.instance], { fromMs: attempt.sentAtMs, toMs: bothUntilMs })) return []
    return [`${id} (${attempt.kind} at ${attempt.box}) ran at ${first.instance} and ${second.instance} for ${Math.round(bothUntilMs - readAtMs)} ms after one of them had gone on`]
  }))
}

function silencesOf (run: UpstreamRun, silences: readonly EngineSilence[]): EngineSilence[] {
  return silences.filter(({ instance, fromMs, toMs }) => instance === run.instance && fromMs < endOf(run) && toMs > run.startedAtMs)
}

function endOf ({ endedAtMs = Number.POSITIVE_INFINITY }: UpstreamRun): number {
  return endedAtMs
}

function pairsOf<T> (items: readonly T[]): [T, T][] {
  return items.flatMap((first, i) => items.slice(i + 1).map((second): [T, T] => [first, second]))
}
