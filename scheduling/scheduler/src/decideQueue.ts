import { type AdmissionDecision, type AdmissionInputs, AdmissionOutcome, decideAdmission } from './decideAdmission.js'
import { type WaitingRequest } from './waitingQueue.js'

/** What is known of a shard at one moment, for all that wait there. */
export interface QueueFacts extends Pick<AdmissionInputs, 'msPerPlace' | 'msPerArrival' | 'rateError'> {
  nowMs: number
  /** Least time to a request's first token if it were placed at once; nothing when no engine takes work. */
  leastMs: (waiting: WaitingRequest) => number | undefined
  /** A client has used more than its share. */
  isAhead: (client: string) => boolean
  /** When requests come back for places that they were promised, sorted. */
  promisesDueAtMs: readonly number[]
}

/** A decision with what it was made from. */
export interface QueueDecision {
  waiting: WaitingRequest
  inputs: AdmissionInputs
  decision: AdmissionDecision
}

/** Decides of each request that waits whether it is kept: more urgent ones first, and otherwise in the order in which they are placed. */
export function decideQueue (waiting: readonly WaitingRequest[], facts: QueueFacts): QueueDecision[] {
  const priorities = [...new Set(waiting.map(({ request }) => request.priority))].sort((a, b) => b - a)
  return priorities.reduce<QueueDecision[]>((decided, priority) => {
    const alike = waiting.filter(({ request }) => request.priority === priority)
    return [...decided, ...decideAlike(inOrder(alike, facts), decided.filter(isKept).length, facts)]
  }, [])
}

/** Decides of requests of one priority. Those that are late go behind all that go before them, wherever these stand. */
function decideAlike (alike: readonly WaitingRequest[], before: number, facts: QueueFacts): QueueDecision[] {
  const first: QueueDecision[] = []
  const late = alike.filter((waiting) => {
    const decided = decide(waiting, before + first.length, 0, facts)
    const goesBefore = decided.decision.outcome === AdmissionOutcome.InTime || (decided.inputs.promised && isKept(decided))
    if (goesBefore) first.push(decided)
    return !goesBefore
  })
  let aheadLate = 0
  const others = late.map((waiting) => {
    const decided = decide(waiting, before + first.length, aheadLate, facts)
    if (isKept(decided)) aheadLate++
    return decided
  })
  return [...first, ...others]
}

function decide (waiting: WaitingRequest, aheadInTime: number, aheadLate: number, facts: QueueFacts): QueueDecision {
  const { handoverMs, lateAtMs, uselessAtMs, returned, promiseDueAtMs, outcome } = waiting
  const { nowMs, msPerPlace, msPerArrival, rateError, leastMs, promisesDueAtMs } = facts
  const promised = promiseDueAtMs !== undefined
  const inputs: AdmissionInputs = {
    leastMs: leastMs(waiting),
    aheadInTime,
    aheadLate,
    aheadDue: promised ? 0 : countUpTo(promisesDueAtMs, lateAtMs),
    msPerPlace,
    msPerArrival,
    rateError,
    handoverMs,
    inTimeLeftMs: lateAtMs - nowMs,
    usefulLeftMs: uselessAtMs - nowMs,
    returned,
    promised,
    kept: outcome !== undefined,
  }
  return { waiting, inputs, decision: decideAdmission(inputs) }
}

/** Those with a promise; then clients that are not ahead of their share; then by first arrival. */
function inOrder (alike: readonly WaitingRequest[], { isAhead }: QueueFacts): WaitingRequest[] {
  const rankOf = ({ promiseDueAtMs, request: { client } }: WaitingRequest) => (promiseDueAtMs !== undefined ? 0 : 2) + (isAhead(client) ? 1 : 0)
  return alike
    .map((waiting) => ({ waiting, rank: rankOf(waiting) }))
    .sort((a, b) => a.rank - b.rank || a.waiting.firstArrivedAtMs - b.waiting.firstArrivedAtMs)
    .map(({ waiting }) => waiting)
}

function isKept ({ decision }: QueueDecision): boolean {
  return decision.outcome !== AdmissionOutcome.Refused
}

/** How many of the sorted values are no larger than a bound. */
function countUpTo (sorted: readonly number[], bound: number): number {
  let low = 0
  let high = sorted.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (sorted[middle] <= bound) low = middle + 1
    else high = middle
  }
  return low
}
