import { ClientShares } from '@reelspan/scheduling.client-shares'
import { ShareRank } from './shareRank.js'
import { type WaitingRequest } from './waitingQueue.js'

/** What a request needs of a shard. */
export interface ShareDemand {
  client: string
  weight: number
  /** Part of a decode engine that it occupies. */
  part: number
  prefillMs: number
  /** Expected time for which it occupies it. */
  heldMs: number
}

/** A waiting request and what it needs. */
export interface WaitingDemands {
  waiting: WaitingRequest
  demand: ShareDemand
}

/** What is in use of a shard now. */
export interface CapacityInUse {
  /** Sum of the parts of decode engines that requests occupy. */
  decodeEngines: number
  /** Prefill engines that compute, in decode engines: both pools are needed in full. */
  prefillEngines: number
  /** Decode engines for each prefill engine. */
  decodePerPrefillEngine: number
}

/** A waiting request's place relative to its client's share. */
export interface ShareStanding {
  rank: ShareRank
  /** Slots of the shard that become free until the request is within the share, or over it by one request at most. */
  slotsUntilShare: number
}

/**
 * Window for the share of the slots in use now, below first-token targets. With the window of seconds alone, a client
 * that starts a flood may fill the queue with what it has not used before, and others within their shares wait behind it.
 */
const SHORT_DECAY_MS = 250
/** A client with few requests exceeds its share by parts of a request by chance, so admission allows one. Otherwise 12 equal clients at twice the capacity lose 2 to 3 in 100 of the requests served. */
const TOLERANCE_REQUESTS = 1
/** Bounds the expected wait of a client with a negligible share. */
const MIN_SHARE = 0.001

/** Shares of the last seconds and of the slots in use now. */
export class ShareWindows {
  readonly #long = new ClientShares()
  readonly #windows: readonly ClientShares[] = [this.#long, new ClientShares({ decayMs: SHORT_DECAY_MS })]
  /** Cost of the waiting requests of each client. */
  #waitingCost: ReadonlyMap<string, number> = new Map()

  /** Cost of a request in each window: the part of a decode engine times the time, or prefill time if prefill engines are scarcer. */
  costsOf ({ part, prefillMs, heldMs }: ShareDemand, { decodePerPrefillEngine }: CapacityInUse): number[] {
    return this.#windows.map((shares) => Math.max(shares.costOfHolding(part, heldMs), decodePerPrefillEngine * shares.costOfHolding(1, prefillMs)))
  }

  start ({ client, weight }: ShareDemand, costs: readonly number[], nowMs: number): void {
    this.#windows.forEach((shares, i) => shares.start(client, costs[i], weight, nowMs))
  }

  end ({ client }: ShareDemand, { expected, actual }: { expected: readonly number[], actual: readonly number[] }, nowMs: number): void {
    this.#windows.forEach((shares, i) => shares.end(client, { expected: expected[i], actual: actual[i] }, nowMs))
  }

  recordRefusal ({ client, weight }: ShareDemand, costs: readonly number[], nowMs: number): void {
    this.#windows.forEach((shares, i) => shares.recordRefusal({ client, cost: costs[i], weight }, nowMs))
  }

  /** Ranks the waiting requests, given in the order in which those of one client are placed. Each counts the client's earlier ones as used. */
  rank (demands: readonly WaitingDemands[], inUse: CapacityInUse, nowMs: number): Map<WaitingRequest, ShareStanding> {
    const costs = demands.map(({ demand }) => this.costsOf(demand, inUse))
    const [excess, shortExcess] = this.#windows.map((shares, window) => {
      shares.setCapacity(shares.costOfHolding(Math.max(inUse.decodeEngines, inUse.prefillEngines), Number.POSITIVE_INFINITY))
      shares.setWaiting(demands.map(({ demand: { client, weight } }, i) => ({ client, cost: costs[i][window], weight })), nowMs)
      const ahead = new Map<string, number>()
      const requests = demands.map(({ demand: { client } }, i) => {
        const aheadCost = ahead.get(client) ?? 0
        ahead.set(client, aheadCost + costs[i][window])
        return shares.excessOf(client, nowMs, aheadCost) / costs[i][window]
      })
      return { requests, ahead }
    })
    this.#waitingCost = excess.ahead
    return new Map(demands.map(({ waiting, demand: { client } }, i) => {
      const rank = excess.requests[i] > 0 ? ShareRank.Over : shortExcess.requests[i] > 0 ? ShareRank.Ahead : ShareRank.Within
      return [waiting, { rank, slotsUntilShare: Math.max(0, excess.requests[i] - TOLERANCE_REQUESTS) / this.shareOf(client, nowMs) }]
    }))
  }

  /** Whether another request of a client would exceed its share. */
  wouldExceed (client: string, nowMs: number): boolean {
    return this.#long.isOverShare(client, nowMs, this.#waitingCost.get(client) ?? 0)
  }

  /** The part of the shard's capacity that a client may use, above 0 and up to 1. */
  shareOf (client: string, nowMs: number): number {
    return Math.max(MIN_SHARE, this.#long.shareOf(client, nowMs))
  }

  /** The shares of the last seconds, for what clients request. */
  get lastSeconds (): ClientShares {
    return this.#long
  }
}
