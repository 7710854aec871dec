import { RouteObjective, type RouteSpec } from '@reelspan/config.resources'
import { type ReserveRequest } from '@reelspan/core.messages'
import { type DecodeAccount, type DecodeCapacity, type EngineAccount, type PrefillAccount, type ShardLedger } from '@reelspan/scheduling.ledger'
import { type PrefixIndex } from '@reelspan/scheduling.prefix-index'
import { type AnswerLengthEstimator } from './answerLengthEstimator.js'
import { type ArrivalPredictor } from './arrivalPredictor.js'
import { type EngineLimits } from './engineLimits.js'
import { type StreamEndPredictor } from './streamEndPredictor.js'
import { ownPrefillMs, slotsWithinTarget, prefillMs, requestKvBytes, transferMs } from '@reelspan/scheduling.shards'
import { mayDecode } from './mayDecode.js'

/** Estimated times and costs of a placement on a given pair of engines. Times are on this box's clock. */
export interface PlacementEstimate {
  /** The decode engine if it computes the prompt itself. */
  prefill: EngineAccount<unknown>
  decode: EngineAccount<DecodeAccount>
  prefillEndMs: number
  importEndMs: number
  firstTokenMs: number
  expectedEndMs: number
  costMs: number
  kvBytes: number
}

/** The prefill part of an estimate. */
export interface PrefillEstimate {
  prefill: EngineAccount<PrefillAccount>
  /** Time at which its engine is free again. */
  endMs: number
  costMs: number
}

/** Capacity of decode engines that is kept for other requests, by engine. */
export type KeptCapacity = ReadonlyMap<string, DecodeCapacity>

export interface DecodeOptions {
  usableSlots: number
  kept?: KeptCapacity
  objective?: RouteObjective
  nowMs: number
}

export interface PlacementEstimatorOptions {
  ledger: ShardLedger
  index: PrefixIndex
  lengths: AnswerLengthEstimator
  ends: StreamEndPredictor
  arrivals: ArrivalPredictor
  /** Whether an engine is suspected of failing. */
  isSuspect: (engine: string) => boolean
  limits: EngineLimits
}

/** On average a request joins the batch in the middle of a step and gets its first token at the end of the next step. */
const STEPS_TO_FIRST_TOKEN = 1.5

/**
 * Share of an engine's capacity by which an engine in a remote availability zone is ranked lower, about one stream
 * of ten. KV cache transfers take twice as long between zones, and traffic between zones costs operators more.
 */
const REMOTE_ZONE_CAPACITY_PENALTY = 0.1
/** The same for an engine that computes the prompt itself: about the network delay of the request and its first token. */
const REMOTE_ZONE_PENALTY_MS = 20

/** Estimates placements from the ledger and the prefix index. */
export class PlacementEstimator {
  readonly #ledger: ShardLedger
  readonly #index: PrefixIndex
  readonly #lengths: AnswerLengthEstimator
  readonly #ends: StreamEndPredictor
  readonly #arrivals: ArrivalPredictor
  readonly #isSuspect: (engine: string) => boolean
  readonly #limits: EngineLimits

  constructor ({ ledger, index, lengths, ends, arrivals, isSuspect, limits }: PlacementEstimatorOptions) {
    this.#ledger = ledger
    this.#index = index
    this.#lengths = lengths
    this.#ends = ends
    this.#arrivals = arrivals
    this.#isSuspect = isSuspect
    this.#limits = limits
  }

  /** Number of slots of a decode engine that this route may use and that keep the time between tokens within the target. */
  usableSlots (tbtTargetMs: number, route?: RouteSpec): number {
    const { shard } = this.#ledger
    const shared = Math.max(1, Math.floor(shard.decodePool.placesPerEngine * (route?.poolSharePercent ?? 100) / 100))
    return Math.min(shared, slotsWithinTarget(shard, tbtTargetMs))
  }

  /** Duration of the prefill on an engine, given the prefix that is probably cached there. */
  prefillCostMs (request: ReserveRequest, engine: string, nowMs: number): number {
    const cached = this.#index.cachedTokens(engine, request.prefixes, nowMs)
    return prefillMs(this.#ledger.shard, request.promptTokens - cached)
  }

  /** Time in which a decode engine computes the prompt itself; undefined if it cannot. Its cached prefixes are not known. */
  ownPrefillMs ({ promptTokens, allowsOwnPrefill }: ReserveRequest, { account }: EngineAccount<DecodeAccount>): number | undefined {
    const declaredMs = allowsOwnPrefill ? ownPrefillMs(this.#ledger.shard, promptTokens) : undefined
    return declaredMs === undefined ? undefined : declaredMs * account.ownPrefills.speedFactor
  }

  /** Minimum time from the end of the prefill to the first token. */
  handoverMs (request: ReserveRequest): number {
    const { shard } = this.#ledger
    return shard.spec.prefillLatencyMs + transferMs(shard, request.promptTokens) + shard.spec.decodeStepBaseMs
  }

  /** KV cache memory to reserve for a request. */
  kvBytes (request: ReserveRequest): number {
    return requestKvBytes(this.#ledger.shard, request, this.#lengths.typicalShare)
  }

  /** Duration of an answer of typical length on a lightly loaded engine. */
  typicalAnswerMs ({ maxTokens }: ReserveRequest): number {
    return this.#lengths.typicalShare * maxTokens * this.#ledger.shard.spec.decodeStepBaseMs
  }

  /** Completes an estimate with the decode engine that has the most free capacity, or returns undefined if none has enough. Suspected engines are tried last. */
  estimateDecode (request: ReserveRequest, part: PrefillEstimate, { usableSlots, kept, objective, nowMs }: DecodeOptions): PlacementEstimate | undefined {
    const { shard } = this.#ledger
    const { spec, decodePool } = shard
    const kvBytes = this.kvBytes(request)
    const capacity = { slots: usableSlots, kvBytes: decodePool.kvBytesPerEngine }
    const arrivalMs = this.#arrivals.earliestMs(part.endMs, nowMs)
    const version = this.#ledger.servedVersion(part.prefill, nowMs)
    // The KV cache of one model version is not usable by another.
    const engines = this.#ledger.decodeEngines().filter((decode) => this.#ledger.servedVersion(decode, nowMs) === version && this.#accepts(decode, request))
    // A slot expected to be free by the end of the prefill may be lost to a fault, which wastes the prefill; some routes do not count on it.
    const countsEndingStreams = objective !== RouteObjective.WastedPrefill
    const zones = [part.prefill.availabilityZone, request.availabilityZone]
    const mostFreeOf = (candidates: readonly EngineAccount<DecodeAccount>[]) =>
      findMostFree(candidates, { kvBytes, capacity, zones, freeOf: ({ name, account }) => without(account.freeNow(capacity), kept?.get(name)) }) ??
      (countsEndingStreams ? findMostFree(candidates, { kvBytes, capacity, zones, freeOf: (decode) => without(decode.account.freeAt(arrivalMs, capacity, (reservation) => this.#ends.latestEndMs(decode, reservation), nowMs), kept?.get(decode.name)) }) : undefined)
    const trusted = engines.filter(({ name }) => !this.#isSuspect(name))
    const continuable = request.resumable ? trusted.filter((decode) => this.#ledger.isContinuable(decode)) : trusted
    const mostFree = mostFreeOf(continuable) ?? (continuable.length < trusted.length ? mostFreeOf(trusted) : undefined) ?? mostFreeOf(engines)
    if (!mostFree) return undefined
    const { decode, free } = mostFree
    const linkFreeMs = Math.max(part.endMs + spec.prefillLatencyMs, part.prefill.account.linkFreeAtMs, decode.account.linkFreeAtMs)
    const importEndMs = linkFreeMs + transferMs(shard, request.promptTokens)
    const times = this.#streamTimes(request, importEndMs, usableSlots, usableSlots - free.slots + 1)
    return { prefill: part.prefill, decode, prefillEndMs: part.endMs, ...times, costMs: part.costMs, kvBytes }
  }

  /** Returns the estimate for the decode engine that would finish the prompt first, among those with free capacity now. */
  estimateOwnPrefill (request: ReserveRequest, { usableSlots, kept, nowMs }: DecodeOptions): PlacementEstimate | undefined {
    const { shard } = this.#ledger
    const kvBytes = this.kvBytes(request)
    const capacity = { slots: usableSlots, kvBytes: shard.decodePool.kvBytesPerEngine }
    const estimates = this.#ledger.decodeEngines()
      .filter((decode) => this.#ledger.servedVersion(decode, nowMs) !== undefined && this.#accepts(decode, request) && !this.#isSuspect(decode.name))
      .flatMap((decode): PlacementEstimate[] => {
        const costMs = this.ownPrefillMs(request, decode)
        const free = decode.account.freeNow(capacity)
        if (costMs === undefined || !fits(without(free, kept?.get(decode.name)), kvBytes)) return []
        const endMs = decode.account.ownPrefills.freeAtMs(nowMs) + costMs
        return [{ prefill: decode, decode, prefillEndMs: endMs, ...this.#streamTimes(request, endMs, usableSlots, usableSlots - free.slots + 1), costMs, kvBytes }]
      })
    const penalizedFirstTokenMs = ({ decode, firstTokenMs }: PlacementEstimate) => firstTokenMs + REMOTE_ZONE_PENALTY_MS * countRemoteZones(decode, [request.availabilityZone])
    return estimates.sort((a, b) => penalizedFirstTokenMs(a) - penalizedFirstTokenMs(b))[0]
  }

  /**
   * Capacity that requests need once they can start: each takes it on the decode engine with the most
   * free capacity, whether or not it fits there now, so that a large request is not overtaken for ever.
   */
  keepCapacity (requests: readonly ReserveRequest[], usableSlotsOf: (request: ReserveRequest) => number, nowMs: number): KeptCapacity {
    const kept = new Map<string, DecodeCapacity>()
    const takingWork = this.#ledger.decodeEngines().filter((decode) => this.#ledger.servedVersion(decode, nowMs) !== undefined)
    requests.forEach((request) => {
      const capacity = { slots: usableSlotsOf(request), kvBytes: this.#ledger.shard.decodePool.kvBytesPerEngine }
      const kvBytes = this.kvBytes(request)
      const options = takingWork
        .filter((decode) => kvBytes <= capacity.kvBytes && this.#accepts(decode, request))
        .map(({ name, account }) => ({ name, headroom: headroomOf(without(account.freeNow(capacity), kept.get(name)), capacity) }))
      if (options.length === 0) return
      const { name } = options.reduce((best, option) => option.headroom > best.headroom ? option : best)
      const { slots, kvBytes: keptKvBytes } = kept.get(name) ?? { slots: 0, kvBytes: 0 }
      kept.set(name, { slots: slots + 1, kvBytes: keptKvBytes + kvBytes })
    })
    return kept
  }

  /** Whether a decode engine may get the request, capacity aside. */
  #accepts (decode: EngineAccount<DecodeAccount>, request: ReserveRequest): boolean {
    return mayDecode(decode, request) && this.#limits.waitMs(decode.name) === 0
  }

  /** Times at which a stream starts and ends at the declared speed, given the time at which its KV cache is available. */
  #streamTimes ({ maxTokens }: ReserveRequest, importEndMs: number, usableSlots: number, batch: number) {
    const { spec } = this.#ledger.shard
    const fullStepMs = spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * usableSlots
    return {
      importEndMs,
      firstTokenMs: importEndMs + STEPS_TO_FIRST_TOKEN * (spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * batch),
      expectedEndMs: importEndMs + maxTokens * fullStepMs,
    }
  }
}

interface CapacitySearch {
  kvBytes: number
  capacity: DecodeCapacity
  /** Availability zones of the prefill engine and of the request's owner. */
  zones: readonly (string | undefined)[]
  freeOf: (engine: EngineAccount<DecodeAccount>) => DecodeCapacity
}

/** The engine with the most free capacity, among those with a free slot and enough memory. Each remote zone is a penalty. */
function findMostFree (engines: readonly EngineAccount<DecodeAccount>[], { kvBytes, capacity, zones, freeOf }: CapacitySearch) {
  let best: { decode: EngineAccount<DecodeAccount>, free: DecodeCapacity } | undefined
  let bestHeadroom = Number.NEGATIVE_INFINITY
  engines.forEach((decode) => {
    const free = freeOf(decode)
    if (!fits(free, kvBytes)) return
    const headroom = headroomOf(free, capacity) - REMOTE_ZONE_CAPACITY_PENALTY * countRemoteZones(decode, zones)
    if (headroom <= bestHeadroom) return
    best = { decode, free }
    bestHeadroom = headroom
  })
  return best
}

function headroomOf (free: DecodeCapacity, capacity: DecodeCapacity): number {
  return Math.min(free.slots / capacity.slots, free.kvBytes / capacity.kvBytes)
}

function without (free: DecodeCapacity, kept?: DecodeCapacity): DecodeCapacity {
  return kept ? { slots: free.slots - kept.slots, kvBytes: free.kvBytes - kept.kvBytes } : free
}

function fits (free: DecodeCapacity, kvBytes: number): boolean {
  return free.slots >= 1 && free.kvBytes >= kvBytes
}

/** The number of known zones that differ from the engine's zone. */
function countRemoteZones ({ availabilityZone }: EngineAccount<unknown>, zones: readonly (string | undefined)[]): number {
  return zones.filter((zone) => zone !== undefined && zone !== availabilityZone).length
}
