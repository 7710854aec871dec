import { type HoldLabel, holdLabelKey, type ReserveRequest } from '@reelspan/core.messages'
import { type LedgerEntry, type ShardLedger } from '@reelspan/scheduling.ledger'
import { prefillMs } from '@reelspan/scheduling.shards'
import { type AccountWeights } from './accountWeights.js'
import { type PlacementEstimator } from './placementEstimator.js'
import { type PlacementObservations } from './placementObservations.js'
import { ShareRank } from './shareRank.js'
import { type CapacityInUse, type ShareDemand, type ShareStanding, ShareWindows } from './shareWindows.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface QueueSharesOptions {
  ledger: ShardLedger
  estimator: PlacementEstimator
  observations: PlacementObservations
  weights: AccountWeights
}

/** A placed request, and what it was charged. */
interface Holding {
  demand: ShareDemand
  /** Expected time for which it occupies its slot, at the declared speed. */
  declaredMs: number
  startedAtMs: number
  charges: readonly { windows: ShareWindows, expected: readonly number[] }[]
}

const HOLD_FACTOR_EWMA_WEIGHT = 0.05
const MAX_HOLD_FACTOR = 4
/** Callers of the own interface name priorities freely; further ones share the shares of the next lower one. */
const MAX_PRIORITIES = 8

/**
 * Shares of the client accounts of one shard, and which waiting requests exceed them.
 * Requests of one priority only compete with those of at least the same, so there are
 * shares for each priority that count these. Without competing accounts nothing
 * exceeds a share.
 */
export class QueueShares {
  readonly #opts: QueueSharesOptions
  readonly #byPriority = new Map<number, ShareWindows>()
  readonly #holdings = new Map<string, Holding>()
  #heldParts = 0
  /** Sum of the expected times for which the placed requests hold their slots. */
  #heldMs = 0
  /** EWMA of the actual time for which requests hold their slots divided by the declared one. */
  #holdFactor = 1
  #firstClient?: string
  /** Whether requests of more than one client were seen. Until then there is nothing to compare. */
  #isShared = false
  #standings: ReadonlyMap<WaitingRequest, ShareStanding> = new Map()

  constructor (opts: QueueSharesOptions) {
    this.#opts = opts
  }

  /** Determines which waiting requests exceed their clients' shares. */
  refresh (waitingRequests: readonly WaitingRequest[], nowMs: number): void {
    waitingRequests.forEach(({ request }) => this.#noteClient(request))
    if (!this.#isShared) return
    const inUse = this.#capacityInUse(nowMs)
    const demands = [...waitingRequests].sort(compareOfOneClient).map((waiting) => ({ waiting, demand: this.#demandOf(waiting.request) }))
    demands.forEach(({ waiting }) => this.#windowsOf(waiting.request.priority))
    this.#standings = new Map([...this.#byPriority].flatMap(([priority, windows]) => {
      const ranked = windows.rank(demands.filter(({ waiting }) => waiting.request.priority >= priority), inUse, nowMs)
      return [...ranked].filter(([{ request }]) => this.#windowsOf(request.priority) === windows)
    }))
  }

  /** How a waiting request relates to its client's share, as of the last refresh. */
  rankOf (waiting: WaitingRequest): ShareRank {
    return this.#standings.get(waiting)?.rank ?? ShareRank.Within
  }

  isOverShare (waiting: WaitingRequest): boolean {
    return this.rankOf(waiting) === ShareRank.Over
  }

  /**
   * Slots of the shard that become free until a waiting request is within its client's share, which a client with a
   * quarter of the capacity approaches by one request with every fourth slot; 0 if the request is within the share.
   */
  slotsUntilShare (waiting: WaitingRequest): number {
    return this.#standings.get(waiting)?.slotsUntilShare ?? 0
  }

  /** Shares among requests of at least a priority. */
  ofPriority (priority: number): ShareWindows {
    return this.#windowsOf(priority)
  }

  /** Shares among all requests. */
  ofAll (): ShareWindows {
    return this.#windowsOf([...this.#byPriority.keys()].reduce((lowest, priority) => Math.min(lowest, priority)))
  }

  /** Whether accounts compete: a client requests more than its share. */
  isContended (nowMs: number): boolean {
    return this.#isShared && this.#byPriority.size > 0 && this.ofAll().lastSeconds.isContended(nowMs)
  }

  /** Mean time for which the placed requests hold their slots, and the mean time from one end to the next; undefined if none is placed. */
  heldSlots (): { meanHoldMs: number, msPerSlot: number } | undefined {
    const count = this.#holdings.size
    return count === 0 ? undefined : { meanHoldMs: this.#heldMs / count, msPerSlot: this.#heldMs / count / count }
  }

  /** Charges a request from its reservation on. */
  recordReservation (request: ReserveRequest, { kvBytes, prefillCostMs }: LedgerEntry, { ageMs }: { ageMs: number }, nowMs: number): void {
    const { label, priority, client } = request
    this.#noteClient(request)
    this.recordRelease(label, nowMs)
    this.#windowsOf(priority)
    const declaredMs = this.#declaredHoldMs(request)
    const demand = { client, weight: this.#opts.weights.weightOf(client), part: this.#opts.observations.engineShareOf(kvBytes), prefillMs: prefillCostMs, heldMs: this.#holdFactor * declaredMs }
    const inUse = this.#capacityInUse(nowMs)
    const charges = this.#competedFor(priority).map((windows) => ({ windows, expected: windows.costsOf(demand, inUse) }))
    charges.forEach(({ windows, expected }) => windows.start(demand, expected, nowMs))
    this.#holdings.set(holdLabelKey(label), { demand, declaredMs, startedAtMs: nowMs - ageMs, charges })
    this.#heldParts += demand.part
    this.#heldMs += demand.heldMs
  }

  /** Corrects the charge of a request whose reservation has ended. */
  recordRelease (label: HoldLabel, nowMs: number): void {
    const key = holdLabelKey(label)
    const holding = this.#holdings.get(key)
    if (!holding) return
    const { demand, declaredMs, startedAtMs, charges } = holding
    const heldMs = Math.max(0, nowMs - startedAtMs)
    this.#holdings.delete(key)
    this.#heldParts = this.#holdings.size === 0 ? 0 : this.#heldParts - demand.part
    this.#heldMs = this.#holdings.size === 0 ? 0 : this.#heldMs - demand.heldMs
    this.#holdFactor += HOLD_FACTOR_EWMA_WEIGHT * (Math.min(MAX_HOLD_FACTOR, heldMs / Math.max(1, declaredMs)) - this.#holdFactor)
    const inUse = this.#capacityInUse(nowMs)
    charges.forEach(({ windows, expected }) => windows.end(demand, { expected, actual: windows.costsOf({ ...demand, heldMs }, inUse) }, nowMs))
  }

  /** Counts a refused request as demand for a while. */
  recordRefusal (request: ReserveRequest, nowMs: number): void {
    const demand = this.#demandOf(request)
    const inUse = this.#capacityInUse(nowMs)
    this.#windowsOf(request.priority)
    this.#competedFor(request.priority).forEach((windows) => windows.recordRefusal(demand, windows.costsOf(demand, inUse), nowMs))
  }

  #noteClient ({ client }: ReserveRequest): void {
    this.#firstClient ??= client
    this.#isShared ||= client !== this.#firstClient
  }

  /** The shares of a priority, created on demand. */
  #windowsOf (priority: number): ShareWindows {
    const known = this.#byPriority.get(priority)
    if (known) return known
    if (this.#byPriority.size >= MAX_PRIORITIES) {
      const ascending = [...this.#byPriority.keys()].sort((a, b) => a - b)
      return this.#byPriority.get(ascending.findLast((other) => other <= priority) ?? ascending[0]) as ShareWindows
    }
    const windows = new ShareWindows()
    this.#byPriority.set(priority, windows)
    return windows
  }

  /** The shares that a request of a priority counts for: those of its priority and of lower ones. */
  #competedFor (priority: number): ShareWindows[] {
    return [...this.#byPriority].filter(([other]) => other <= priority).map(([, windows]) => windows)
  }

  #demandOf (request: ReserveRequest): ShareDemand {
    const { ledger, estimator, observations, weights } = this.#opts
    return {
      client: request.client,
      weight: weights.weightOf(request.client),
      part: observations.engineShareOf(estimator.kvBytes(request)),
      prefillMs: prefillMs(ledger.shard, request.promptTokens),
      heldMs: this.#holdFactor * this.#declaredHoldMs(request),
    }
  }

  /** Time from a request's reservation to its end, at the declared speed. */
  #declaredHoldMs (request: ReserveRequest): number {
    const { ledger, estimator } = this.#opts
    return prefillMs(ledger.shard, request.promptTokens) + estimator.handoverMs(request) + estimator.typicalAnswerMs(request)
  }

  #capacityInUse (nowMs: number): CapacityInUse {
    const { ledger } = this.#opts
    const prefillEngines = ledger.prefillEngines()
    const decodePerPrefillEngine = prefillEngines.length > 0 ? ledger.decodeEngines().length / prefillEngines.length : 0
    const busy = prefillEngines.filter(({ account }) => account.freeAtMs(nowMs) > nowMs).length
    return { decodeEngines: this.#heldParts, prefillEngines: busy * decodePerPrefillEngine, decodePerPrefillEngine }
  }
}

/** The order in which requests of one client are placed, apart from their sizes. */
function compareOfOneClient (a: WaitingRequest, b: WaitingRequest): number {
  return b.request.priority - a.request.priority ||
    Number(b.promiseDueAtMs !== undefined) - Number(a.promiseDueAtMs !== undefined) ||
    a.firstArrivedAtMs - b.firstArrivedAtMs
}
