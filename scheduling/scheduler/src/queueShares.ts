import { type HoldLabel, holdLabelKey, type ReserveRequest } from '@reelspan/core.messages'
import { ClientShares } from '@reelspan/scheduling.client-shares'
import { type LedgerEntry, type ShardLedger } from '@reelspan/scheduling.ledger'
import { prefillMs } from '@reelspan/scheduling.shards'
import { type AccountWeights } from './accountWeights.js'
import { type PlacementEstimator } from './placementEstimator.js'
import { type PlacementObservations } from './placementObservations.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface QueueSharesOptions {
  ledger: ShardLedger
  estimator: PlacementEstimator
  observations: PlacementObservations
  weights: AccountWeights
}

/** What a placed request is charged, from its reservation on. */
interface Holding extends Demand {
  expectedMs: number
  /** Expected cost in each window. */
  expectedCosts: readonly number[]
  startedAtMs: number
}

/** What a waiting request needs. */
interface Demand {
  client: string
  /** Part of a decode engine that it occupies. */
  part: number
  prefillMs: number
  /** Expected time for which it occupies it. */
  heldMs: number
}

/** How a waiting request relates to its client's share. Lower values go first. */
export enum ShareRank {
  /** Within the share, also of the slots that are in use now. */
  Within = 0,
  /** The client holds or waits for more than its share of the slots in use now, but used less in the last seconds. */
  Ahead = 1,
  /** Over the share of the last seconds. */
  Over = 2,
}

/**
 * Window for the share of the slots in use now, below first-token targets. With the window of seconds alone, a client
 * that starts a flood may fill the queue with what it has not used before, and others within their shares wait behind it.
 */
const SHORT_DECAY_MS = 250
const HOLD_FACTOR_EWMA_WEIGHT = 0.05
const MAX_HOLD_FACTOR = 4
/** Bounds the expected wait of a client with a negligible share. */
const MIN_SHARE = 0.001

/**
 * Shares of the client accounts of one shard, and which waiting requests exceed them.
 * A request costs the part of a decode engine that it occupies times the time, or its
 * prefill time if prefill engines are scarcer. Without competing accounts nothing
 * exceeds a share.
 */
export class QueueShares {
  readonly #opts: QueueSharesOptions
  readonly #shares = new ClientShares()
  readonly #windows: readonly ClientShares[] = [this.#shares, new ClientShares({ decayMs: SHORT_DECAY_MS })]
  readonly #holdings = new Map<string, Holding>()
  #heldParts = 0
  /** EWMA of the actual time for which requests hold their slots divided by the estimated one. */
  #holdFactor = 1
  #ranks: ReadonlyMap<WaitingRequest, ShareRank> = new Map()
  /** Slots until each request that exceeds its client's share is within it. */
  #slotsUntilShare: ReadonlyMap<WaitingRequest, number> = new Map()
  /** Cost of the waiting requests of each client. */
  #waitingCost: ReadonlyMap<string, number> = new Map()

  constructor (opts: QueueSharesOptions) {
    this.#opts = opts
  }

  /** Determines which waiting requests exceed their clients' shares. The requests of a client count one after another. */
  refresh (waiting: readonly WaitingRequest[], nowMs: number): void {
    const demands = [...waiting].sort(compareOfOneClient).map((one) => ({ one, demand: this.#demandOf(one.request) }))
    const [excess, shortExcess] = this.#windows.map((shares) => {
      const costs = demands.map(({ demand }) => this.#costOf(shares, demand))
      shares.setCapacity(this.#capacityInUse(shares, nowMs))
      shares.setWaiting(demands.map(({ demand: { client } }, i) => ({ client, cost: costs[i], weight: this.#opts.weights.weightOf(client) })), nowMs)
      const ahead = new Map<string, number>()
      const requests = demands.map(({ one, demand: { client } }, i) => {
        const aheadCost = ahead.get(client) ?? 0
        ahead.set(client, aheadCost + costs[i])
        return { one, requests: shares.excessOf(client, nowMs, aheadCost) / costs[i] }
      })
      return { requests, ahead }
    })
    this.#waitingCost = excess.ahead
    this.#slotsUntilShare = new Map(excess.requests.filter(({ requests }) => requests > 0).map(({ one, requests }) => [one, requests / this.shareOf(one.request.client, nowMs)]))
    this.#ranks = new Map(shortExcess.requests.map(({ one, requests }) => [one, this.#slotsUntilShare.has(one) ? ShareRank.Over : requests > 0 ? ShareRank.Ahead : ShareRank.Within]))
  }

  /** How a waiting request relates to its client's share, as of the last refresh. */
  rankOf (waiting: WaitingRequest): ShareRank {
    return this.#ranks.get(waiting) ?? ShareRank.Within
  }

  isOverShare (waiting: WaitingRequest): boolean {
    return this.rankOf(waiting) === ShareRank.Over
  }

  /**
   * Slots of the shard that become free until a waiting request is within its client's share, which a client with a
   * quarter of the capacity approaches by one request with every fourth slot; 0 if the request is within the share.
   */
  slotsUntilShare (waiting: WaitingRequest): number {
    return this.#slotsUntilShare.get(waiting) ?? 0
  }

  /** Whether another request of a client would exceed its share. */
  wouldExceed (client: string, nowMs: number): boolean {
    return this.#shares.isOverShare(client, nowMs, this.#waitingCost.get(client) ?? 0)
  }

  /** The part of the shard's capacity that a client may use, up to 1. */
  shareOf (client: string, nowMs: number): number {
    return Math.max(MIN_SHARE, this.#shares.shareOf(client, nowMs))
  }

  /** The part of the demand that comes from clients that request no more than their shares, from 0 to 1. */
  modestDemand (nowMs: number): number {
    return this.#shares.modestDemand(nowMs)
  }

  /** The part of the demand that a client has, from 0 to 1. */
  demandOf (client: string, nowMs: number): number {
    return this.#shares.demandOf(client, nowMs)
  }

  /** Charges a request from its reservation on. */
  recordReservation ({ client, label }: ReserveRequest, { kvBytes, prefillCostMs }: LedgerEntry, { ageMs, expectedMs }: { ageMs: number, expectedMs: number }, nowMs: number): void {
    const demand = { client, part: this.#opts.observations.engineShareOf(kvBytes), prefillMs: prefillCostMs, heldMs: this.#holdFactor * expectedMs }
    const expectedCosts = this.#windows.map((shares) => this.#costOf(shares, demand))
    this.recordRelease(label, nowMs)
    this.#holdings.set(holdLabelKey(label), { ...demand, expectedMs, expectedCosts, startedAtMs: nowMs - ageMs })
    this.#heldParts += demand.part
    this.#windows.forEach((shares, i) => shares.start(client, expectedCosts[i], this.#opts.weights.weightOf(client), nowMs))
  }

  /** Corrects the charge of a request whose reservation has ended. */
  recordRelease (label: HoldLabel, nowMs: number): void {
    const key = holdLabelKey(label)
    const holding = this.#holdings.get(key)
    if (!holding) return
    const { client, part, expectedMs, expectedCosts, startedAtMs } = holding
    const heldMs = Math.max(0, nowMs - startedAtMs)
    this.#holdings.delete(key)
    this.#heldParts = this.#holdings.size === 0 ? 0 : this.#heldParts - part
    if (expectedMs > 0) this.#holdFactor += HOLD_FACTOR_EWMA_WEIGHT * (Math.min(MAX_HOLD_FACTOR, heldMs / expectedMs) - this.#holdFactor)
    this.#windows.forEach((shares, i) => shares.end(client, { expected: expectedCosts[i], actual: this.#costOf(shares, { ...holding, heldMs }) }, nowMs))
  }

  /** Counts a refused request as demand for a while. */
  recordRefusal (request: ReserveRequest, nowMs: number): void {
    const demand = this.#demandOf(request)
    const weight = this.#opts.weights.weightOf(request.client)
    this.#windows.forEach((shares) => shares.recordRefusal({ client: request.client, cost: this.#costOf(shares, demand), weight }, nowMs))
  }

  /** Estimated time from a request's reservation to its end, at the declared speed. */
  expectedHoldMs (request: ReserveRequest): number {
    const { ledger, estimator } = this.#opts
    return prefillMs(ledger.shard, request.promptTokens) + estimator.handoverMs(request) + estimator.typicalAnswerMs(request)
  }

  #demandOf (request: ReserveRequest): Demand {
    const { ledger, estimator, observations } = this.#opts
    return {
      client: request.client,
      part: observations.engineShareOf(estimator.kvBytes(request)),
      prefillMs: prefillMs(ledger.shard, request.promptTokens),
      heldMs: this.#holdFactor * this.expectedHoldMs(request),
    }
  }

  #costOf (shares: ClientShares, { part, prefillMs: prefilledMs, heldMs }: Omit<Demand, 'client'>): number {
    return Math.max(shares.costOfHolding(part, heldMs), this.#decodePerPrefillEngine() * shares.costOfHolding(1, prefilledMs))
  }

  /** A prefill engine is worth this many decode engines, since both pools are needed in full. */
  #decodePerPrefillEngine (): number {
    const { ledger } = this.#opts
    const prefillCount = ledger.prefillEngines().length
    return prefillCount > 0 ? ledger.decodeEngines().length / prefillCount : 0
  }

  /** Usage that would result in the long run if all that is in use now were held on. */
  #capacityInUse (shares: ClientShares, nowMs: number): number {
    const busyPrefills = this.#opts.ledger.prefillEngines().filter(({ account }) => account.freeAtMs(nowMs) > nowMs).length
    return shares.costOfHolding(Math.max(this.#heldParts, busyPrefills * this.#decodePerPrefillEngine()), Number.POSITIVE_INFINITY)
  }
}

/** The order in which requests of one client are placed, apart from their sizes. */
function compareOfOneClient (a: WaitingRequest, b: WaitingRequest): number {
  return b.request.priority - a.request.priority ||
    Number(b.promiseDueAtMs !== undefined) - Number(a.promiseDueAtMs !== undefined) ||
    a.firstArrivedAtMs - b.firstArrivedAtMs
}
