import { type ReserveRequest } from '@reelspan/core.messages'
import { type LedgerEntry, type ShardLedger } from '@reelspan/scheduling.ledger'
import { prefillMs, requestKvBytes } from '@reelspan/scheduling.shards'
import { type AnswerLengthEstimator } from './answerLengthEstimator.js'
import { CapacityForecast, type EngineCapacity, type HeldCapacity, type PrefillCapacity } from './capacityForecast.js'
import { type AdmissionDecision, type AdmissionInputs, AdmissionOutcome } from './decideAdmission.js'
import { expectedEndMs } from './expectedEnd.js'
import { ForecastCorrection } from './forecastCorrection.js'
import { DISPATCH_LOOKAHEAD_MS, type PlacementChooser, type ReadyEngine } from './placementChooser.js'
import { type PlacementEstimator } from './placementEstimator.js'
import { type PlacementRate } from './placementRate.js'
import { QuantileSequence } from './quantileSequence.js'
import { RateForecast, type SlotForecast } from './slotForecast.js'
import { type TokenPaceEstimator } from './tokenPaceEstimator.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface ShardForecastOptions {
  ledger: ShardLedger
  chooser: PlacementChooser
  estimator: PlacementEstimator
  lengths: AnswerLengthEstimator
  pace: TokenPaceEstimator
  rate: PlacementRate
  waiting: () => readonly WaitingRequest[]
}

/** Requests whose sizes differ by less than this factor share a forecast, made for the first of them. */
const SIZE_STEP = 1.2
/** A snapshot is used again until this share of the reservations may have changed: on 64 engines a new one for each change took a third of the scheduler's time. */
const TOLERATED_CHANGE_SHARE = 0.02
/** A snapshot is used for at most this long. Waiting requests are checked again after this time as well. */
const MAX_SNAPSHOT_AGE_MS = 10
/** Bound of an estimate that can be infinite. */
const MAX_OBSERVED_MS = 60_000
/** Lower bound of a prefill's duration, so that rates are finite. */
const MIN_PREFILL_MS = 0.1

/** State of the shard that is evaluated once for all decisions of a cycle. */
interface Snapshot {
  atMs: number
  isKnown: boolean
  rates: Pick<AdmissionInputs, 'msPerPlace' | 'msPerArrival'>
  byRate: SlotForecast
  ready: readonly ReadyEngine[]
  /** Reservations by decode engine. */
  entries: ReadonlyMap<string, LedgerEntry[]>
  forecasts: Map<string, SlotForecast>
  /** Mean share of a decode engine that the waiting requests need; undefined if none waits. */
  meanShare?: number
  /** Mean duration of the prefills of the waiting requests; undefined if none waits. */
  meanPrefillMs?: number
}

/** Forecasts the slots of a shard from its ledger; from the rate of placements while nothing is reserved, no answers have ended, or first reports of engines are outstanding. */
export class ShardForecast {
  readonly #opts: ShardForecastOptions
  /** What was forecast for requests against what was observed. */
  readonly correction = new ForecastCorrection()
  readonly #quantiles = new QuantileSequence()
  #snapshot?: Snapshot
  /** Changes since the snapshot. */
  #changes = 0

  constructor (opts: ShardForecastOptions) {
    this.#opts = opts
  }

  /** Called when a reservation, an engine or a waiting request has changed. */
  recordChange (): void {
    this.#changes++
  }

  /** Whether slots are forecast from reservations. */
  isKnown (nowMs: number): boolean {
    return this.#snapshotAt(nowMs).isKnown
  }

  /** Compares the decision to refuse a request that was kept in time with what was forecast when it was kept. */
  recordDecision (waiting: WaitingRequest, { outcome, estimateMs, slotMs = MAX_OBSERVED_MS }: AdmissionDecision, nowMs: number): void {
    if (!this.isKnown(nowMs)) return
    const { expectedFirstTokenAtMs, keptSinceMs } = waiting
    if (keptSinceMs === undefined && outcome === AdmissionOutcome.InTime) {
      waiting.keptSinceMs = nowMs
      waiting.expectedFirstTokenAtMs = nowMs + estimateMs
    } else if (keptSinceMs !== undefined && expectedFirstTokenAtMs !== undefined && outcome === AdmissionOutcome.Refused) {
      this.correction.observe(expectedFirstTokenAtMs - keptSinceMs, nowMs + Math.min(slotMs + waiting.handoverMs, MAX_OBSERVED_MS) - keptSinceMs)
    }
  }

  /** Compares the expected first token of a placed request with the one that was forecast when it was kept; undefined if it did not wait. */
  recordPlacement ({ expectedFirstTokenAtMs, keptSinceMs }: WaitingRequest, firstTokenAtMs: number): number | undefined {
    if (expectedFirstTokenAtMs === undefined || keptSinceMs === undefined) return undefined
    this.correction.observe(expectedFirstTokenAtMs - keptSinceMs, firstTokenAtMs - keptSinceMs)
    return firstTokenAtMs - expectedFirstTokenAtMs
  }

  /** The forecast for a request. Waiting requests ahead of it are counted by their mean size. */
  forRequest (request: ReserveRequest, nowMs: number): SlotForecast {
    const snapshot = this.#snapshotAt(nowMs)
    const { byRate, forecasts, isKnown, meanShare, rates: { msPerArrival } } = snapshot
    if (!isKnown) return byRate
    const usableSlots = this.#opts.chooser.usableSlots(request)
    const key = `${Math.round(Math.log(this.#kvBytes(request)) / Math.log(SIZE_STEP))} ${usableSlots}`
    const known = forecasts.get(key)
    if (known) return known
    const kvBytes = this.#kvBytes(request)
    const reserved = new CapacityForecast({
      kvBytes,
      aheadFactor: (meanShare ?? 0) / this.#shareOf(kvBytes) || 1,
      holdMs: this.#usualStreamMs(request.maxTokens, usableSlots) + this.#prefillMs(request, snapshot),
      decode: this.#decodeCapacities(snapshot, usableSlots, nowMs),
      prefill: this.#prefillCapacities(request, snapshot, nowMs),
      msPerArrival,
    })
    // Without any engine that takes work nothing is known of its return.
    const forecast = Number.isFinite(reserved.slotMs(1)) ? reserved : byRate
    forecasts.set(key, forecast)
    return forecast
  }

  #snapshotAt (nowMs: number): Snapshot {
    if (this.#snapshot && this.#isCurrent(this.#snapshot, nowMs)) return this.#snapshot
    this.#changes = 0
    const { ledger, chooser, lengths, rate, waiting } = this.#opts
    const rates = { msPerPlace: rate.msPerPlace(nowMs, ledger.reservationCount), msPerArrival: rate.msPerArrival(nowMs) }
    const entries = new Map<string, LedgerEntry[]>()
    ledger.entries().forEach((entry) => {
      const onEngine = entries.get(entry.decodeEngine)
      if (onEngine) onEngine.push(entry)
      else entries.set(entry.decodeEngine, [entry])
    })
    const queued = waiting()
    this.#snapshot = {
      atMs: nowMs,
      isKnown: ledger.reservationCount > 0 && !ledger.awaitsFirstReports(nowMs) && lengths.isKnown,
      rates,
      byRate: new RateForecast(rates),
      ready: chooser.expectedEngines(nowMs),
      entries,
      forecasts: new Map(),
      meanShare: meanOf(queued.map(({ request }) => this.#shareOf(this.#kvBytes(request)))),
      meanPrefillMs: meanOf(queued.flatMap(({ prefillCostsMs }) => {
        const knownMs = prefillCostsMs.filter((costMs) => costMs !== undefined)
        return knownMs.length > 0 ? [Math.min(...knownMs)] : []
      })),
    }
    return this.#snapshot
  }

  #isCurrent ({ atMs }: Snapshot, nowMs: number): boolean {
    const tolerated = Math.floor(TOLERATED_CHANGE_SHARE * this.#opts.ledger.reservationCount)
    return this.#changes === 0 ? atMs === nowMs : this.#changes <= tolerated && nowMs - atMs < MAX_SNAPSHOT_AGE_MS
  }

  #decodeCapacities ({ entries }: Snapshot, usableSlots: number, nowMs: number): EngineCapacity[] {
    const { ledger } = this.#opts
    const capacity = { slots: usableSlots, kvBytes: ledger.shard.decodePool.kvBytesPerEngine }
    return ledger.decodeEngines()
      .filter((decode) => ledger.expectedVersion(decode, nowMs) !== undefined)
      .map(({ name, account }): EngineCapacity => {
        const held = (entries.get(name) ?? []).map((entry): HeldCapacity => ({
          kvBytes: entry.kvBytes,
          endsInMs: this.#streamEndMs(entry, usableSlots, nowMs) - nowMs,
        }))
        return { free: account.freeNow(capacity), held }
      })
  }

  #prefillCapacities (request: ReserveRequest, snapshot: Snapshot, nowMs: number): PrefillCapacity[] {
    const { ledger, estimator } = this.#opts
    const pooled = snapshot.ready.map(({ freeAtMs, speedFactor }): PrefillCapacity => ({
      freeInMs: Math.max(0, freeAtMs - DISPATCH_LOOKAHEAD_MS - nowMs),
      costMs: this.#prefillMs(request, snapshot) * speedFactor,
    }))
    const own = ledger.decodeEngines().flatMap((decode): PrefillCapacity[] => {
      const costMs = ledger.expectedVersion(decode, nowMs) === undefined ? undefined : estimator.ownPrefillMs(request, decode)
      return costMs === undefined ? [] : [{ freeInMs: decode.account.ownPrefills.freeAtMs(nowMs) - nowMs, costMs }]
    })
    return [...pooled, ...own]
  }

  /** Mean duration of the prefills that wait; of the request's own one, without cached prefixes, if none waits. */
  #prefillMs ({ promptTokens }: ReserveRequest, { meanPrefillMs }: Snapshot): number {
    return Math.max(MIN_PREFILL_MS, meanPrefillMs ?? prefillMs(this.#opts.ledger.shard, promptTokens))
  }

  /** Expected end of a stream: at its quantile of the lengths of answers that were longer than it is now, or after the usual time again if none was. */
  #streamEndMs (entry: LedgerEntry, usableSlots: number, nowMs: number): number {
    const { decodeEngine, importEndMs, maxTokens } = entry
    const longestMs = maxTokens * this.#tbtMs(usableSlots, decodeEngine)
    const endShare = this.#opts.lengths.endShare((nowMs - importEndMs) / longestMs, this.#quantiles.quantileOf(entry))
    return endShare === undefined
      ? expectedEndMs({ startAtMs: importEndMs, usualMs: this.#usualStreamMs(maxTokens, usableSlots, decodeEngine), latestEndMs: importEndMs + longestMs }, nowMs)
      : importEndMs + endShare * longestMs
  }

  /** Usual duration of a stream, by the usual length of answers and the time between tokens on its engine. */
  #usualStreamMs (maxTokens: number, usableSlots: number, engine?: string): number {
    return this.#opts.lengths.typicalShare * maxTokens * this.#tbtMs(usableSlots, engine)
  }

  /** Time between tokens on an engine; of a full batch at the declared speed before any was reported. */
  #tbtMs (usableSlots: number, engine?: string): number {
    const { ledger: { shard: { spec } }, pace } = this.#opts
    return pace.tbtMs(engine) ?? spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * usableSlots
  }

  #kvBytes (request: ReserveRequest): number {
    return requestKvBytes(this.#opts.ledger.shard, request, this.#opts.lengths.typicalShare)
  }

  #shareOf (kvBytes: number): number {
    const { kvBytesPerEngine, placesPerEngine } = this.#opts.ledger.shard.decodePool
    return Math.max(kvBytes / kvBytesPerEngine, 1 / placesPerEngine)
  }
}

function meanOf (values: readonly number[]): number | undefined {
  return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length
}
