import { type AdmissionDecision, type AdmissionInputs, AdmissionOutcome, decideAdmission } from './decideAdmission.js'
import { type WaitingRequest } from './waitingQueue.js'

/** State of a shard at the time of the decision, common to all waiting requests. */
export interface QueueInputs extends Pick<AdmissionInputs, 'msPerPlace' | 'msPerArrival' | 'rateError'> {
  nowMs: number
  /** Minimum time to a request's first token if it were placed at once; undefined if no engine takes work. */
  minTtftMs: (waiting: WaitingRequest) => number | undefined
  /** When slots become free for a request, and the time from its slot to its first token; from the rates if omitted. */
  forecastOf?: (waiting: WaitingRequest) => Pick<AdmissionInputs, 'forecast' | 'handoverMs' | 'newcomerError'>
  /** Whether a client's recent usage exceeds its share. */
  isOverShare: (client: string) => boolean
  /** Due times of outstanding retries with a promised slot, sorted. */
  promisesDueAtMs: readonly number[]
}

/** An admission decision and its inputs. */
export interface QueueDecision {
  waiting: WaitingRequest
  inputs: AdmissionInputs
  decision: AdmissionDecision
}

/** Decides for each waiting request whether it is kept: by descending priority, and within one priority in placement order. */
export function decideQueue (waiting: readonly WaitingRequest[], queueInputs: QueueInputs): QueueDecision[] {
  const priorities = [...new Set(waiting.map(({ request }) => request.priority))].sort((a, b) => b - a)
  return priorities.reduce<QueueDecision[]>((decided, priority) => {
    const samePriority = waiting.filter(({ request }) => request.priority === priority)
    return [...decided, ...decideSamePriority(inOrder(samePriority, queueInputs), decided.filter(isKept).length, queueInputs)]
  }, [])
}

/** Decides for requests of one priority. Late requests go behind all requests that can be in time or have a promised slot. */
function decideSamePriority (samePriority: readonly WaitingRequest[], before: number, queueInputs: QueueInputs): QueueDecision[] {
  const first: QueueDecision[] = []
  const late = samePriority.filter((waiting) => {
    const decided = decide(waiting, before + first.length, 0, queueInputs)
    const goesBefore = decided.decision.outcome === AdmissionOutcome.InTime || (decided.inputs.promised && isKept(decided))
    if (goesBefore) first.push(decided)
    return !goesBefore
  })
  let aheadLate = 0
  const others = late.map((waiting) => {
    const decided = decide(waiting, before + first.length, aheadLate, queueInputs)
    if (isKept(decided)) aheadLate++
    return decided
  })
  return [...first, ...others]
}

function decide (waiting: WaitingRequest, aheadInTime: number, aheadLate: number, queueInputs: QueueInputs): QueueDecision {
  const { handoverMs, inTimeUntilMs, usefulUntilMs, returned, promiseDueAtMs, outcome } = waiting
  const { nowMs, msPerPlace, msPerArrival, rateError, minTtftMs, forecastOf, promisesDueAtMs } = queueInputs
  const promised = promiseDueAtMs !== undefined
  const inputs: AdmissionInputs = {
    minTtftMs: minTtftMs(waiting),
    aheadInTime,
    aheadLate,
    aheadDue: promised ? 0 : countUpTo(promisesDueAtMs, inTimeUntilMs),
    msPerPlace,
    msPerArrival,
    rateError,
    handoverMs,
    inTimeLeftMs: inTimeUntilMs - nowMs,
    usefulLeftMs: usefulUntilMs - nowMs,
    returned,
    promised,
    kept: outcome !== undefined,
    ...forecastOf?.(waiting),
  }
  return { waiting, inputs, decision: decideAdmission(inputs) }
}

/** Orders requests with a promised slot first, then those of clients within their share, then by first arrival. */
function inOrder (samePriority: readonly WaitingRequest[], { isOverShare }: QueueInputs): WaitingRequest[] {
  const rankOf = ({ promiseDueAtMs, request: { client } }: WaitingRequest) => (promiseDueAtMs !== undefined ? 0 : 2) + (isOverShare(client) ? 1 : 0)
  return samePriority
    .map((waiting) => ({ waiting, rank: rankOf(waiting) }))
    .sort((a, b) => a.rank - b.rank || a.waiting.firstArrivedAtMs - b.waiting.firstArrivedAtMs)
    .map(({ waiting }) => waiting)
}

function isKept ({ decision }: QueueDecision): boolean {
  return decision.outcome !== AdmissionOutcome.Refused
}

/** Counts the sorted values that are at most a bound. */
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
