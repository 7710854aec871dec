import { RouteObjective, type RouteSpec } from '@reelspan/config.resources'
import { type ReserveRequest } from '@reelspan/core.messages'
import { type DecodeAccount, type DecodeCapacity, type EngineAccount, type PrefillAccount, type ShardLedger } from '@reelspan/scheduling.ledger'
import { type PrefixIndex } from '@reelspan/scheduling.prefix-index'
import { type AnswerLengthEstimator } from './answerLengthEstimator.js'
import { type EngineLimits } from './engineLimits.js'
import { ownPrefillMs, slotsWithinTarget, prefillMs, requestKvBytes, transferMs } from '@reelspan/scheduling.shards'

/** What a placement on a certain pair of engines would come to. Times are on this box's clock. */
export interface PlacementEstimate {
  /** The decode engine, when that computes the prompt itself. */
  prefill: EngineAccount<unknown>
  decode: EngineAccount<DecodeAccount>
  importEndMs: number
  firstTokenMs: number
  latestEndMs: number
  costMs: number
  kvBytes: number
}

/** The prefill part of an estimate. */
export interface PrefillEstimate {
  prefill: EngineAccount<PrefillAccount>
  /** When its engine is free again. */
  endMs: number
  costMs: number
}

export interface DecodeOptions {
  usableSlots: number
  objective?: RouteObjective
  nowMs: number
}

export interface PlacementEstimatorOptions {
  ledger: ShardLedger
  index: PrefixIndex
  lengths: AnswerLengthEstimator
  /** Engines that fail of late. */
  isSuspect: (engine: string) => boolean
  limits: EngineLimits
}

/** Steps may take this much longer than declared before a place is counted as free too early. */
const STEP_SLACK = 1.15
/** A request joins the batch in the middle of a step, on average, and gets its first token at the end of the next. */
const STEPS_TO_FIRST_TOKEN = 1.5

/**
 * Room, as a part of an engine, that is worth an availability zone less on the way: about one stream of ten.
 * KV cache takes twice as long between zones, and streams through another zone cost their operators more.
 */
const REMOTE_ZONE_CAPACITY_PENALTY = 0.1
/** The same for an engine that computes the prompt itself: about the way of a request and of its first token. */
const REMOTE_ZONE_PENALTY_MS = 20

/** Estimates placements from the ledger and the prefix index. */
export class PlacementEstimator {
  readonly #ledger: ShardLedger
  readonly #index: PrefixIndex
  readonly #lengths: AnswerLengthEstimator
  readonly #isSuspect: (engine: string) => boolean
  readonly #limits: EngineLimits

  constructor ({ ledger, index, lengths, isSuspect, limits }: PlacementEstimatorOptions) {
    this.#ledger = ledger
    this.#index = index
    this.#lengths = lengths
    this.#isSuspect = isSuspect
    this.#limits = limits
  }

  /** Places of a decode engine that this route may use and that keep the time between tokens within the target. */
  usableSlots (tbtTargetMs: number, route?: RouteSpec): number {
    const { shard } = this.#ledger
    const shared = Math.max(1, Math.floor(shard.decodePool.placesPerEngine * (route?.poolSharePercent ?? 100) / 100))
    return Math.min(shared, slotsWithinTarget(shard, tbtTargetMs))
  }

  /** Time that the prefill takes on an engine, by what is probably cached there. */
  prefillCostMs (request: ReserveRequest, engine: string, nowMs: number): number {
    const cached = this.#index.cachedTokens(engine, request.prefixes, nowMs)
    return prefillMs(this.#ledger.shard, request.promptTokens - cached)
  }

  /** Time in which a decode engine computes the prompt itself; nothing when that cannot be. What is cached there is not known. */
  ownPrefillMs ({ promptTokens, allowsOwnPrefill }: ReserveRequest, { account }: EngineAccount<DecodeAccount>): number | undefined {
    const declaredMs = allowsOwnPrefill ? ownPrefillMs(this.#ledger.shard, promptTokens) : undefined
    return declaredMs === undefined ? undefined : declaredMs * account.ownPrefills.speedFactor
  }

  /** The least time from when a prefill's engine is free again to its first token. */
  handoverMs (request: ReserveRequest): number {
    const { shard } = this.#ledger
    return shard.spec.prefillLatencyMs + transferMs(shard, request.promptTokens) + shard.spec.decodeStepBaseMs
  }

  /** How long the answer lasts on a lightly loaded engine, if it is as long as answers usually are. */
  typicalAnswerMs ({ maxTokens }: ReserveRequest): number {
    return this.#lengths.typicalShare * maxTokens * this.#ledger.shard.spec.decodeStepBaseMs
  }

  /** Completes an estimate with the decode engine that has most room when the prefill ends, if one has any. Those that fail of late come last. */
  estimateDecode (request: ReserveRequest, part: PrefillEstimate, { usableSlots, objective, nowMs }: DecodeOptions): PlacementEstimate | undefined {
    const { shard } = this.#ledger
    const { spec, decodePool } = shard
    const kvBytes = requestKvBytes(shard, request, this.#lengths.typicalShare)
    const capacity = { slots: usableSlots, kvBytes: decodePool.kvBytesPerEngine }
    const version = this.#ledger.servedVersion(part.prefill, nowMs)
    // KV cache of one version means nothing to another.
    const engines = this.#ledger.decodeEngines().filter((decode) => this.#ledger.servedVersion(decode, nowMs) === version && this.#accepts(decode, request))
    // A place that is free only by the time the prefill ends may still be lost to a fault: some routes do not bet on it.
    const countsEndingStreams = objective !== RouteObjective.WastedPrefill
    const zones = [part.prefill.availabilityZone, request.availabilityZone]
    const mostFreeOf = (candidates: readonly EngineAccount<DecodeAccount>[]) =>
      findMostFree(candidates, { kvBytes, capacity, zones, freeOf: ({ account }) => account.freeNow(capacity) }) ??
      (countsEndingStreams ? findMostFree(candidates, { kvBytes, capacity, zones, freeOf: ({ account }) => account.freeAt(part.endMs, capacity) }) : undefined)
    const mostFree = mostFreeOf(engines.filter(({ name }) => !this.#isSuspect(name))) ?? mostFreeOf(engines)
    if (!mostFree) return undefined
    const { decode, free } = mostFree
    const linkFreeMs = Math.max(part.endMs + spec.prefillLatencyMs, part.prefill.account.linkFreeAtMs, decode.account.linkFreeAtMs)
    const importEndMs = linkFreeMs + transferMs(shard, request.promptTokens)
    const times = this.#streamTimes(request, importEndMs, usableSlots, usableSlots - free.slots + 1)
    return { prefill: part.prefill, decode, ...times, costMs: part.costMs, kvBytes }
  }

  /** The estimate with the decode engine that would be done first with computing the prompt itself, of those that have room now. */
  estimateOwnPrefill (request: ReserveRequest, { usableSlots, nowMs }: DecodeOptions): PlacementEstimate | undefined {
    const { shard } = this.#ledger
    const kvBytes = requestKvBytes(shard, request, this.#lengths.typicalShare)
    const capacity = { slots: usableSlots, kvBytes: shard.decodePool.kvBytesPerEngine }
    const estimates = this.#ledger.decodeEngines()
      .filter((decode) => this.#ledger.servedVersion(decode, nowMs) !== undefined && this.#accepts(decode, request) && !this.#isSuspect(decode.name))
      .flatMap((decode): PlacementEstimate[] => {
        const costMs = this.ownPrefillMs(request, decode)
        const free = decode.account.freeNow(capacity)
        if (costMs === undefined || !fits(free, kvBytes)) return []
        const endMs = decode.account.ownPrefills.freeAtMs(nowMs) + costMs
        return [{ prefill: decode, decode, ...this.#streamTimes(request, endMs, usableSlots, usableSlots - free.slots + 1), costMs, kvBytes }]
      })
    const penalizedFirstTokenMs = ({ decode, firstTokenMs }: PlacementEstimate) => firstTokenMs + REMOTE_ZONE_PENALTY_MS * countRemoteZones(decode, [request.availabilityZone])
    return estimates.sort((a, b) => penalizedFirstTokenMs(a) - penalizedFirstTokenMs(b))[0]
  }

  /** Whether an engine takes the request at all, room aside. */
  #accepts ({ name }: EngineAccount<unknown>, { avoid }: ReserveRequest): boolean {
    return !avoid.includes(name) && this.#limits.waitMs(name) === 0
  }

  /** When a stream begins and surely has ended, on an engine that has its KV cache from a time on. */
  #streamTimes ({ maxTokens }: ReserveRequest, importEndMs: number, usableSlots: number, batch: number) {
    const { spec } = this.#ledger.shard
    const fullStepMs = spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * usableSlots
    return {
      importEndMs,
      firstTokenMs: importEndMs + STEPS_TO_FIRST_TOKEN * (spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * batch),
      latestEndMs: importEndMs + maxTokens * fullStepMs * STEP_SLACK,
    }
  }
}

interface CapacitySearch {
  kvBytes: number
  capacity: DecodeCapacity
  /** Availability zones that the stream has to do with: where its prompt is computed, and where its owner is. */
  zones: readonly (string | undefined)[]
  freeOf: (engine: EngineAccount<DecodeAccount>) => DecodeCapacity
}

/** The engine with most room, among those that have a place and the memory for it. Each zone that it is not in counts as if it had less. */
function findMostFree (engines: readonly EngineAccount<DecodeAccount>[], { kvBytes, capacity, zones, freeOf }: CapacitySearch) {
  let best: { decode: EngineAccount<DecodeAccount>, free: DecodeCapacity } | undefined
  let bestHeadroom = Number.NEGATIVE_INFINITY
  engines.forEach((decode) => {
    const free = freeOf(decode)
    if (!fits(free, kvBytes)) return
    const headroom = Math.min(free.slots / capacity.slots, free.kvBytes / capacity.kvBytes) - REMOTE_ZONE_CAPACITY_PENALTY * countRemoteZones(decode, zones)
    if (headroom <= bestHeadroom) return
    best = { decode, free }
    bestHeadroom = headroom
  })
  return best
}

function fits (free: DecodeCapacity, kvBytes: number): boolean {
  return free.slots >= 1 && free.kvBytes >= kvBytes
}

/** How many of the zones, as far as they are known, an engine is not in. */
function countRemoteZones ({ availabilityZone }: EngineAccount<unknown>, zones: readonly (string | undefined)[]): number {
  return zones.filter((zone) => zone !== undefined && zone !== availabilityZone).length
}
