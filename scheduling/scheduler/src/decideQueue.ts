import { type AdmissionDecision, type AdmissionInputs, AdmissionOutcome, decideAdmission } from './decideAdmission.js'
import { ShareRank } from './shareRank.js'
import { type WaitingRequest } from './waitingQueue.js'

/** State of a shard at the time of the decision, common to all waiting requests. */
export interface QueueInputs extends Pick<AdmissionInputs, 'msPerPlace' | 'msPerArrival' | 'rateError'> {
  nowMs: number
  /** Minimum time to a request's first token if it were placed at once; undefined if no engine takes work. */
  minTtftMs: (waiting: WaitingRequest) => number | undefined
  /** When slots become free for a request, and the time from its slot to its first token; from the rates if omitted. */
  forecastOf?: (waiting: WaitingRequest) => Pick<AdmissionInputs, 'forecast' | 'handoverMs' | 'newcomerError' | 'rateError'>
  shareRankOf: (waiting: WaitingRequest) => ShareRank
  /** Slots of the shard until a request is within its client's share; 0 if it is. */
  slotsUntilShare: (waiting: WaitingRequest) => number
  /** The part of the slots that requests arriving within their clients' shares leave to others, from 0 to 1. */
  slotShareForOthers: number
  /** Shares among requests of at least a priority. */
  sharesOf: (priority: number) => PriorityShares
}

/** What clients may use and request, among requests of at least one priority. */
export interface PriorityShares {
  /** The part of the shard's capacity that a client may use, above 0 and up to 1. */
  shareOf: (client: string) => number
  /** The part of new requests that a client sends, from 0 to 1. */
  arrivalsOf: (client: string) => number
  /** The part of new requests that comes from clients that request no more than their shares, from 0 to 1. Others get what these leave. */
  arrivalsWithinShares: number
  /** Due times of outstanding retries with a promised slot, sorted: of one client, or of those within their shares. */
  promisesDueAtMs: (client?: string) => readonly number[]
}

/** An admission decision and its inputs. */
export interface QueueDecision {
  waiting: WaitingRequest
  inputs: AdmissionInputs
  decision: AdmissionDecision
}

/** What is ahead of the requests of a group apart from each other. */
interface GroupInputs extends Pick<AdmissionInputs, 'msPerArrival'> {
  queueInputs: QueueInputs
  promisesDue: readonly number[]
  /** Slots of the shard for each promised retry: a client with a quarter of the capacity gets every fourth. */
  slotsPerPromise: number
  /** The part of the slots that a client gets whatever others request; omitted if its requests are over its share. */
  shareOf?: (client: string) => number
}

/**
 * Decides for each waiting request whether it is kept: by descending priority, and
 * within one priority in placement order. Requests within their clients' shares are
 * decided first and only count each other. Those over their share get slots as their
 * client's share allows, whatever others have waiting.
 */
export function decideQueue (waiting: readonly WaitingRequest[], queueInputs: QueueInputs): QueueDecision[] {
  const priorities = [...new Set(waiting.map(({ request }) => request.priority))].sort((a, b) => b - a)
  return priorities.reduce<QueueDecision[]>((decided, priority) => {
    const samePriority = waiting.filter(({ request }) => request.priority === priority)
    return [...decided, ...decideSamePriority(samePriority, decided.filter(isKept).length, queueInputs.sharesOf(priority), queueInputs)]
  }, [])
}

function decideSamePriority (samePriority: readonly WaitingRequest[], before: number, shares: PriorityShares, queueInputs: QueueInputs): QueueDecision[] {
  const over = samePriority.filter((waiting) => queueInputs.shareRankOf(waiting) === ShareRank.Over)
  const within = over.length > 0 ? samePriority.filter((waiting) => queueInputs.shareRankOf(waiting) !== ShareRank.Over) : samePriority
  const decidedWithin = decideWithinShares(inOrder(within, queueInputs), before, shares, queueInputs)
  const keptWithin = decidedWithin.filter(isKept).length
  let keptOver = 0
  const decidedOver = inOrder(over, queueInputs).map((waiting) => {
    const decided = decideOverShare(waiting, { before, keptWithin, keptOver }, shares, queueInputs)
    if (isKept(decided)) keptOver++
    return decided
  })
  return [...decidedWithin, ...decidedOver]
}

/**
 * Decides for requests within their clients' shares, by rank as they are placed. Late requests go behind all requests of
 * their rank that can be in time or have a promised slot.
 */
function decideWithinShares (within: readonly WaitingRequest[], before: number, { shareOf, arrivalsWithinShares, promisesDueAtMs }: PriorityShares, queueInputs: QueueInputs): QueueDecision[] {
  const { msPerArrival, shareRankOf } = queueInputs
  const group = {
    queueInputs,
    msPerArrival: msPerArrival === undefined || arrivalsWithinShares === 0 ? undefined : msPerArrival / arrivalsWithinShares,
    promisesDue: promisesDueAtMs(),
    slotsPerPromise: 1,
    shareOf,
  }
  const ahead = new RequestsAhead(before)
  return [ShareRank.Within, ShareRank.Ahead].flatMap((rank) => decideSameRank(within.filter((waiting) => shareRankOf(waiting) === rank), ahead, group))
}

function decideSameRank (ofRank: readonly WaitingRequest[], ahead: RequestsAhead, group: GroupInputs): QueueDecision[] {
  const decideNext = (waiting: WaitingRequest, aheadLate: number) => decide(waiting, { inTime: ahead.count - aheadLate, late: aheadLate, ofClient: ahead.countOf(waiting) }, group)
  const first: QueueDecision[] = []
  const late = ofRank.filter((waiting) => {
    const decided = decideNext(waiting, 0)
    const goesBefore = decided.decision.outcome === AdmissionOutcome.InTime || (decided.inputs.promised && isKept(decided))
    if (!goesBefore) return true
    ahead.add(waiting)
    first.push(decided)
    return false
  })
  const firstCount = ahead.count
  const others = late.map((waiting) => {
    const decided = decideNext(waiting, ahead.count - firstCount)
    if (isKept(decided)) ahead.add(waiting)
    return decided
  })
  return [...first, ...others]
}

/** Counts the requests that are kept and go before the next one that is decided. */
class RequestsAhead {
  count: number
  readonly #byClient = new Map<string, number>()

  constructor (count: number) {
    this.count = count
  }

  countOf ({ request: { client } }: WaitingRequest): number {
    return this.#byClient.get(client) ?? 0
  }

  add (waiting: WaitingRequest): void {
    this.count++
    this.#byClient.set(waiting.request.client, this.countOf(waiting) + 1)
  }
}

/**
 * Decides for a request over its client's share. It gets a slot when its client's share allows it, after those within
 * their shares that wait now, or earlier if requests within their shares leave enough slots to all others.
 */
function decideOverShare (waiting: WaitingRequest, { before, keptWithin, keptOver }: { before: number, keptWithin: number, keptOver: number }, { shareOf, arrivalsOf, promisesDueAtMs }: PriorityShares, queueInputs: QueueInputs): QueueDecision {
  const { msPerArrival, slotsUntilShare, slotShareForOthers } = queueInputs
  const { client } = waiting.request
  const promisesDue = promisesDueAtMs(client)
  const byShare = decide(waiting, { inTime: before + Math.max(keptWithin, Math.ceil(slotsUntilShare(waiting))) }, {
    queueInputs,
    msPerArrival: msPerArrival === undefined ? undefined : msPerArrival * shareOf(client) / arrivalsOf(client),
    promisesDue,
    slotsPerPromise: 1 / shareOf(client),
  })
  if (byShare.decision.outcome === AdmissionOutcome.InTime || slotShareForOthers === 0) return byShare
  const byRest = decide(waiting, { inTime: before + Math.ceil((keptWithin + keptOver + 1) / slotShareForOthers) - 1 }, { queueInputs, promisesDue, slotsPerPromise: 1 / slotShareForOthers })
  return byRest.decision.outcome === AdmissionOutcome.InTime ? byRest : byShare
}

/** All numbers and rates are in slots of the whole shard. */
function decide (waiting: WaitingRequest, ahead: { inTime: number, late?: number, ofClient?: number }, { queueInputs, msPerArrival, promisesDue, slotsPerPromise, shareOf }: GroupInputs): QueueDecision {
  const { handoverMs, inTimeUntilMs, usefulUntilMs, returned, promiseDueAtMs, outcome } = waiting
  const { nowMs, msPerPlace, rateError, minTtftMs, forecastOf } = queueInputs
  const promised = promiseDueAtMs !== undefined
  const inputs: AdmissionInputs = {
    minTtftMs: minTtftMs(waiting),
    aheadInTime: ahead.inTime,
    aheadLate: ahead.late ?? 0,
    aheadDue: promised ? 0 : Math.ceil(countUpTo(promisesDue, inTimeUntilMs) * slotsPerPromise),
    msPerPlace,
    msPerArrival,
    slotsUntilOwn: slotsUntilOwn(ahead.ofClient ?? 0, shareOf?.(waiting.request.client)),
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

/** Slots of the shard until a client with this share has got one more than it has requests ahead; undefined if others are not limited by shares. */
function slotsUntilOwn (aheadOfClient: number, share = 1): number | undefined {
  return share < 1 ? (aheadOfClient + 1) / share : undefined
}

/** Orders by share, then requests with a promised slot first, then by first arrival. */
function inOrder (group: readonly WaitingRequest[], { shareRankOf }: QueueInputs): WaitingRequest[] {
  return group
    .map((waiting) => ({ waiting, rank: 2 * shareRankOf(waiting) + (waiting.promiseDueAtMs !== undefined ? 0 : 1) }))
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
