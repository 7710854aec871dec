import { isOwnPrefill, type PlacementReport } from '@reelspan/core.messages'
import { type LedgerEntry, type ShardLedger } from '@reelspan/scheduling.ledger'
import { AnswerLengthEstimator } from './answerLengthEstimator.js'
import { ArrivalPredictor } from './arrivalPredictor.js'
import { SlotLimit } from './slotLimit.js'
import { StreamEndPredictor } from './streamEndPredictor.js'
import { QuantileEstimator } from './quantileEstimator.js'
import { type ObservedLoad, ShardLoad } from './shardLoad.js'
import { TokenPaceEstimator } from './tokenPaceEstimator.js'

/** Initial estimate of how much later than estimated first tokens arrive. */
const INITIAL_TTFT_ERROR_MS = 10

/** The load per request, and the time decode engines would need for prompts. */
export type ShardLoadEstimate = ObservedLoad & {
  /** Mean time in which a decode engine would compute a prompt itself; undefined if decode engines cannot prefill. */
  ownPrefillMs?: number
}

/** Estimates from the placements of one shard, updated when requests arrive, are placed and end. */
export class PlacementObservations {
  readonly lengths = new AnswerLengthEstimator()
  readonly pace = new TokenPaceEstimator()
  readonly ends = new StreamEndPredictor(this.pace)
  readonly arrivals = new ArrivalPredictor()
  readonly placesLimit: SlotLimit
  readonly #ledger: ShardLedger
  readonly #load = new ShardLoad()
  readonly #ttftError = new QuantileEstimator({ quantile: 0.85, firstMs: INITIAL_TTFT_ERROR_MS, minMs: 5, maxMs: 60 })

  constructor (ledger: ShardLedger) {
    this.#ledger = ledger
    this.placesLimit = new SlotLimit(ledger.shard.decodePool.placesPerEngine)
  }

  /** Quantile of the delay of first tokens beyond their estimate. */
  get ttftErrorMs (): number {
    return this.#ttftError.valueMs
  }

  /** Records a first attempt; retries are not counted. */
  recordArrival (nowMs: number): void {
    this.#load.recordArrival(nowMs)
  }

  /**
   * Records that a request was placed.
   *
   * @param prefillMs time that its prompt would take on a prefill engine, even if a decode engine computes it
   * @param typicalAnswerMs duration of its answer at the typical answer length
   */
  recordPlacement ({ prefillMs, typicalAnswerMs, kvBytes }: { prefillMs: number, typicalAnswerMs: number, kvBytes: number }): void {
    this.#load.recordPlacement(prefillMs, this.engineShareOf(kvBytes) * typicalAnswerMs)
  }

  /** Records that a request has finished. */
  recordCompletion (entry: LedgerEntry, report: PlacementReport, nowMs: number): void {
    this.#load.recordCompletion(this.engineShareOf(entry.kvBytes) * Math.max(0, nowMs - entry.importEndMs))
    // Prefills on decode engines have a different speed.
    if (!isOwnPrefill(entry)) this.#ttftError.observe(report.ttftErrorMs)
    this.lengths.observe(report.completionTokens, entry.maxTokens)
    // Owners report the time between events, and an event can hold several tokens.
    this.pace.observe(entry.decodeEngine, report.tbtP50Ms / this.#ledger.shard.spec.tokensPerEvent)
    this.ends.observe(entry.decodeEngine, { tokens: report.completionTokens, durationMs: nowMs - entry.importEndMs })
    this.placesLimit.observe(report.tbtP50Ms, entry.tbtTargetMs)
  }

  /** Removes what was observed of engines that are no longer listed. */
  retain (listed: ReadonlySet<string>): void {
    this.pace.retain(listed)
    this.ends.retain(listed)
  }

  /** Returns undefined until enough requests were observed. */
  observedLoad (nowMs: number): ShardLoadEstimate | undefined {
    const { prefillTokensPerSecond, decodePrefillTokensPerSecond } = this.#ledger.shard.spec
    const load = this.#load.observed(nowMs)
    return load && { ...load, ownPrefillMs: decodePrefillTokensPerSecond && load.prefillMs * prefillTokensPerSecond / decodePrefillTokensPerSecond }
  }

  /** The share of a decode engine that a request occupies: of its memory or of its slots, whichever is larger. */
  engineShareOf (kvBytes: number): number {
    const { kvBytesPerEngine, placesPerEngine } = this.#ledger.shard.decodePool
    return Math.max(kvBytes / kvBytesPerEngine, 1 / placesPerEngine)
  }

  describe () {
    return {
      ttftErrorMs: Math.round(this.ttftErrorMs),
      placesLimit: this.placesLimit.slots,
      usualAnswerShare: Number(this.lengths.typicalShare.toFixed(2)),
    }
  }
}
