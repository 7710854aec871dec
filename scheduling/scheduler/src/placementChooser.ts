import { type RouteSpec } from '@reelspan/config.resources'
import { type ReserveRequest } from '@reelspan/core.messages'
import { type EngineAccount, type PrefillAccount, type ShardLedger } from '@reelspan/scheduling.ledger'
import { type EngineLimits } from './engineLimits.js'
import { mayDecode } from './mayDecode.js'
import { type KeptCapacity, type PlacementEstimate, type PlacementEstimator } from './placementEstimator.js'
import { type QueueShares } from './queueShares.js'
import { type SlotLimit } from './slotLimit.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface PlacementChooserOptions {
  ledger: ShardLedger
  estimator: PlacementEstimator
  shares: QueueShares
  placesLimit: SlotLimit
  /** The route of the shard's model. */
  route: () => RouteSpec | undefined
  /** Whether an engine is suspected of failing. */
  isSuspect: (engine: string) => boolean
  limits: EngineLimits
}

/** A prefill engine that takes work, at a given time. */
export interface ReadyEngine {
  engine: EngineAccount<PrefillAccount>
  /** Index among the shard's prefill engines. */
  poolIndex: number
  freeAtMs: number
  speedFactor: number
}

/** A waiting request and the prefill engine that suits it best. */
interface Candidate {
  waiting: WaitingRequest
  ready: ReadyEngine
  costMs: number
}

/** A request and its chosen placement. */
export interface Choice {
  waiting: WaitingRequest
  estimate: PlacementEstimate
}

/** A prefill is dispatched to an engine this long before the engine's current work ends. */
export const DISPATCH_LOOKAHEAD_MS = 25
const MAX_CANDIDATES_TRIED = 3
/** Requests within their share that capacity is kept for. More rarely start before the next slot is free, and each costs a pass over the engines. */
const MAX_KEPT_FOR = 16
/** Approximate prefill work that an engine completes while a request can wait. */
const BACKLOG_PER_ENGINE_MS = 150
/** Approximate time lost when a prefill fails and is repeated on another engine. */
const SUSPECT_PENALTY_MS = 300
const MIN_PRESSURE = 0.3
const MAX_PRESSURE = 2

/** Chooses the waiting request to place next, and its engines. */
export class PlacementChooser {
  readonly #ledger: ShardLedger
  readonly #estimator: PlacementEstimator
  readonly #shares: QueueShares
  readonly #placesLimit: SlotLimit
  readonly #route: () => RouteSpec | undefined
  readonly #isSuspect: (engine: string) => boolean
  readonly #limits: EngineLimits

  constructor ({ ledger, estimator, shares, placesLimit, route, isSuspect, limits }: PlacementChooserOptions) {
    this.#ledger = ledger
    this.#estimator = estimator
    this.#shares = shares
    this.#placesLimit = placesLimit
    this.#route = route
    this.#isSuspect = isSuspect
    this.#limits = limits
  }

  /** The prefill engines that take work and whose version is also served by a decode engine, with the time at which each can start another prefill. */
  readyEngines (nowMs: number): ReadyEngine[] {
    return this.#pairedEngines((engine) => this.#ledger.servedVersion(engine, nowMs), nowMs)
  }

  /** The same, with the silent engines of a paused pool, which are expected to take work soon. */
  expectedEngines (nowMs: number): ReadyEngine[] {
    return this.#pairedEngines((engine) => this.#ledger.expectedVersion(engine, nowMs), nowMs)
  }

  #pairedEngines (versionOf: (engine: EngineAccount<unknown>) => string | undefined, nowMs: number): ReadyEngine[] {
    const decodable = new Set(this.#ledger.decodeEngines().map(versionOf))
    return this.#ledger.prefillEngines().flatMap((engine, poolIndex) => {
      const version = versionOf(engine)
      if (version === undefined || !decodable.has(version)) return []
      return [{ engine, poolIndex, freeAtMs: Math.max(engine.account.freeAtMs(nowMs), this.#permittedAtMs(engine.name, nowMs)), speedFactor: engine.account.speedFactor }]
    })
  }

  /** An engine at its rate limit counts as busy until it accepts another request, and nothing is dispatched to it earlier. */
  #permittedAtMs (engine: string, nowMs: number): number {
    const waitMs = this.#limits.waitMs(engine)
    return waitMs > 0 ? nowMs + waitMs + DISPATCH_LOOKAHEAD_MS : Number.NEGATIVE_INFINITY
  }

  /** Time until the rate limit of any decode engine permits another request; undefined if none takes work. */
  decodePermitWaitMs ({ request }: WaitingRequest, nowMs: number): number | undefined {
    const waitsMs = this.#ledger.decodeEngines()
      .filter((decode) => this.#ledger.expectedVersion(decode, nowMs) !== undefined && mayDecode(decode, request))
      .map(({ name }) => this.#limits.waitMs(name))
    return waitsMs.length > 0 ? Math.min(...waitsMs) : undefined
  }

  /**
   * Chooses the waiting request that makes the best use of an engine that is about to be free.
   *
   * @param queuedPrefillMs total prefill work of all waiting requests
   */
  choose (queue: readonly WaitingRequest[], queuedPrefillMs: number, nowMs: number): Choice | undefined {
    if (queue.length === 0) return undefined
    const engines = this.readyEngines(nowMs)
    const dispatchUntilMs = nowMs + DISPATCH_LOOKAHEAD_MS
    if (!engines.some(({ freeAtMs }) => freeAtMs <= dispatchUntilMs)) return this.#chooseOwnPrefill(queue, engines, nowMs)
    const pressure = this.#pressure(queue.length > 1 ? queuedPrefillMs : 0, engines.length)
    const candidates = queue.flatMap((waiting) => {
      const ready = this.#bestEngine(waiting, engines, { pressure, nowMs })
      return ready && ready.freeAtMs <= dispatchUntilMs ? [{ waiting, ready, costMs: this.costMs(waiting, ready, nowMs) }] : []
    })
    return this.#firstThatFits(this.#inOrder(candidates, nowMs), queue, nowMs) ?? this.#chooseOwnPrefill(queue, engines, nowMs)
  }

  /**
   * Chooses the first request, by priority, then share, then order of arrival, that a decode engine would prefill sooner
   * than the prefill engines, which would first do the work of the requests ahead of it. A decode engine takes longer
   * and delays its streams meanwhile (each by about 190 ms for a prompt of 3,200 tokens), so free prefill engines are used first.
   */
  #chooseOwnPrefill (waitingRequests: readonly WaitingRequest[], engines: readonly ReadyEngine[], nowMs: number): Choice | undefined {
    const queue = [...waitingRequests].sort((a, b) => b.request.priority - a.request.priority || this.#shares.rankOf(a) - this.#shares.rankOf(b))
    // If no engine fits the first request, the next ones rarely find one.
    const first = queue.find(({ request }) => request.allowsOwnPrefill)
    const soonest = first && this.#estimateOwnPrefill(first, queue, nowMs)
    if (!soonest) return undefined
    const pooledAtMs = this.#pooledFirstTokensMs(queue, engines, nowMs)
    const gaining = queue.findIndex(({ request }, i) => request.allowsOwnPrefill && pooledAtMs[i] > soonest.firstTokenMs)
    if (gaining < 0) return undefined
    const waiting = queue[gaining]
    const estimate = this.#estimateOwnPrefill(waiting, queue, nowMs)
    return estimate && estimate.firstTokenMs < pooledAtMs[gaining] && estimate.firstTokenMs <= waiting.usefulUntilMs ? { waiting, estimate } : undefined
  }

  /** Time of each request's first token if the prefill engines took the requests in this order. */
  #pooledFirstTokensMs (queue: readonly WaitingRequest[], engines: readonly ReadyEngine[], nowMs: number): number[] {
    if (engines.length === 0) return queue.map(() => Number.POSITIVE_INFINITY)
    let workMs = engines.reduce((sum, { freeAtMs }) => sum + Math.max(0, freeAtMs - nowMs), 0)
    return queue.map((waiting) => {
      const costMs = Math.min(...engines.map((ready) => this.costMs(waiting, ready, nowMs)))
      const endMs = nowMs + workMs / engines.length + costMs + waiting.handoverMs
      workMs += costMs
      return endMs
    })
  }

  #estimateOwnPrefill (waiting: WaitingRequest, queue: readonly WaitingRequest[], nowMs: number): PlacementEstimate | undefined {
    const { request } = waiting
    return this.#estimator.estimateOwnPrefill(request, { usableSlots: this.usableSlots(request), kept: this.#capacityKeptFrom(waiting, queue, nowMs), nowMs })
  }

  /** Capacity that a request over its client's share leaves to those within theirs, which may wait for a prefill engine or for more memory. */
  #capacityKeptFrom (waiting: WaitingRequest, queue: readonly WaitingRequest[], nowMs: number): KeptCapacity | undefined {
    if (!this.#shares.isOverShare(waiting)) return undefined
    const ahead = queue.filter((other) => other.request.priority >= waiting.request.priority && !this.#shares.isOverShare(other))
    if (ahead.length === 0) return undefined
    return this.#estimator.keepCapacity(ahead.slice(0, MAX_KEPT_FOR).map(({ request }) => request), (request) => this.usableSlots(request), nowMs)
  }

  /** Minimum time until a decode engine has computed the prompt itself, even if all are full now; undefined if none takes work. */
  minOwnPrefillMs ({ request }: WaitingRequest, nowMs: number): number | undefined {
    const timesMs = this.#ledger.decodeEngines().flatMap((decode) => {
      const takesWork = this.#ledger.expectedVersion(decode, nowMs) !== undefined && mayDecode(decode, request)
      const ownMs = takesWork ? this.#estimator.ownPrefillMs(request, decode) : undefined
      return ownMs === undefined ? [] : [ownMs + this.#limits.waitMs(decode.name)]
    })
    return timesMs.length > 0 ? Math.min(...timesMs) : undefined
  }

  /** Number of slots of a decode engine that a request may use. */
  usableSlots ({ tbtTargetMs }: ReserveRequest): number {
    return Math.min(this.#placesLimit.slots, this.#estimator.usableSlots(tbtTargetMs, this.#route()))
  }

  /** Backlog of prefill work relative to what the engines complete before it is late: from 0.3 with an empty queue, up to 2. */
  #pressure (queuedPrefillMs: number, engineCount: number): number {
    return Math.min(MAX_PRESSURE, MIN_PRESSURE + queuedPrefillMs / (engineCount * BACKLOG_PER_ENGINE_MS))
  }

  /** Duration of a prefill on an engine. It depends on the prefixes cached there, and is itself cached while the request waits. */
  costMs ({ request, prefillCostsMs }: WaitingRequest, { engine, poolIndex, speedFactor }: ReadyEngine, nowMs: number): number {
    const costMs = prefillCostsMs[poolIndex] ?? this.#estimator.prefillCostMs(request, engine.name, nowMs)
    prefillCostsMs[poolIndex] = costMs
    return costMs * speedFactor
  }

  /** The engine with the earliest first token. Under pressure, prefill work counts as additional time, which favours engines with a cached prefix. */
  #bestEngine (waiting: WaitingRequest, engines: readonly ReadyEngine[], { pressure, nowMs }: { pressure: number, nowMs: number }): ReadyEngine | undefined {
    const { request: { avoid }, usefulUntilMs, handoverMs } = waiting
    let best: ReadyEngine | undefined
    let bestScore = Number.POSITIVE_INFINITY
    engines.forEach((ready) => {
      const costMs = this.costMs(waiting, ready, nowMs)
      const endMs = ready.freeAtMs + costMs
      const score = endMs + pressure * costMs + (this.#isSuspect(ready.engine.name) ? SUSPECT_PENALTY_MS : 0)
      if (score >= bestScore || endMs + handoverMs > usefulUntilMs || (avoid.length > 0 && avoid.includes(ready.engine.name))) return
      best = ready
      bestScore = score
    })
    return best
  }

  /**
   * Orders by priority; then requests within their client's share; then those whose
   * promised slot is due; then those that can still be in time; then others with a
   * promised slot; then by first arrival plus prefill duration, so that less work makes
   * up for a later arrival.
   */
  #inOrder (candidates: Candidate[], nowMs: number): Candidate[] {
    if (candidates.length <= 1) return candidates
    const rank = ({ waiting, ready, costMs }: Candidate) => [
      -waiting.request.priority,
      this.#shares.rankOf(waiting),
      waiting.promiseDueAtMs !== undefined && nowMs >= waiting.promiseDueAtMs ? 0 : 1,
      ready.freeAtMs + costMs + waiting.handoverMs <= waiting.inTimeUntilMs ? 0 : 1,
      waiting.promiseDueAtMs !== undefined ? 0 : 1,
      waiting.firstArrivedAtMs + costMs,
    ]
    return candidates
      .map((candidate) => ({ candidate, rank: rank(candidate) }))
      .sort((a, b) => compareRanks(a.rank, b.rank))
      .map(({ candidate }) => candidate)
  }

  /**
   * The first candidate that fits on a decode engine. Only a few are tried: if none fits one candidate, the next rarely fits either.
   * Those that fit but would be useless are not counted: at 768 requests per second, more than a few of them wait at any time, and kept all others from free engines.
   */
  #firstThatFits (candidates: readonly Candidate[], queue: readonly WaitingRequest[], nowMs: number): Choice | undefined {
    let misfits = 0
    for (const { waiting, ready, costMs } of candidates) {
      const { request, usefulUntilMs } = waiting
      const part = { prefill: ready.engine, endMs: ready.freeAtMs + costMs, costMs }
      const estimate = this.#estimator.estimateDecode(request, part, { usableSlots: this.usableSlots(request), kept: this.#capacityKeptFrom(waiting, queue, nowMs), objective: this.#route()?.objective, nowMs })
      if (estimate && estimate.firstTokenMs <= usefulUntilMs) return { waiting, estimate }
      if (!estimate && ++misfits === MAX_CANDIDATES_TRIED) return undefined
    }
    return undefined
  }
}

function compareRanks (a: readonly number[], b: readonly number[]): number {
  const at = a.findIndex((value, i) => value !== b[i])
  return at < 0 ? 0 : a[at] - b[at]
}
