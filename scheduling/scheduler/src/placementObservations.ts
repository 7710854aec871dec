import { isOwnPrefill, type PlacementReport } from '@reelspan/core.messages'
import { type LedgerEntry, type ShardLedger } from '@reelspan/scheduling.ledger'
import { AnswerLengthEstimator } from './answerLengthEstimator.js'
import { SlotLimit } from './slotLimit.js'
import { QuantileEstimator } from './quantileEstimator.js'
import { type ObservedLoad, ShardLoad } from './shardLoad.js'

/** First guess of how much later than estimated first tokens come. */
const INITIAL_TTFT_ERROR_MS = 10

/** What the requests take of the engines, and whether decode engines could compute prompts. */
export type ShardLoadEstimate = ObservedLoad & {
  /** Time of a decode engine that a prompt takes which it computes itself; nothing where none can. */
  ownPrefillMs?: number
}

/** What is learnt from placements of one shard, as they are made and as they end. */
export class PlacementObservations {
  readonly lengths = new AnswerLengthEstimator()
  readonly placesLimit: SlotLimit
  readonly #ledger: ShardLedger
  readonly #load = new ShardLoad()
  readonly #ttftError = new QuantileEstimator({ quantile: 0.85, firstMs: INITIAL_TTFT_ERROR_MS, minMs: 5, maxMs: 60 })

  constructor (ledger: ShardLedger) {
    this.#ledger = ledger
    this.placesLimit = new SlotLimit(ledger.shard.decodePool.placesPerEngine)
  }

  /** How much later than estimated first tokens come, for most. */
  get ttftErrorMs (): number {
    return this.#ttftError.valueMs
  }

  /** A request came for the first time. */
  recordArrival (nowMs: number): void {
    this.#load.recordArrival(nowMs)
  }

  /**
   * A request was placed.
   *
   * @param prefillMs the time that its prompt would take of a prefill engine, whoever computes it
   * @param usualAnswerMs how long its answer lasts if it is as long as answers usually are
   */
  recordPlacement ({ prefillMs, typicalAnswerMs, kvBytes }: { prefillMs: number, typicalAnswerMs: number, kvBytes: number }): void {
    this.#load.recordPlacement(prefillMs, this.#engineShareOf(kvBytes) * typicalAnswerMs)
  }

  /** An answer is whole. */
  recordCompletion (entry: LedgerEntry, report: PlacementReport, nowMs: number): void {
    this.#load.recordCompletion(this.#engineShareOf(entry.kvBytes) * Math.max(0, nowMs - entry.importEndMs))
    // What a decode engine computes itself has a speed of its own.
    if (!isOwnPrefill(entry)) this.#ttftError.observe(report.ttftErrorMs)
    this.lengths.observe(report.completionTokens, entry.maxTokens)
    this.placesLimit.observe(report.tbtP50Ms, entry.tbtTargetMs)
  }

  /** Nothing until enough requests were seen. */
  observedLoad (nowMs: number): ShardLoadEstimate | undefined {
    const { prefillTokensPerSecond, decodePrefillTokensPerSecond } = this.#ledger.shard.spec
    const load = this.#load.observed(nowMs)
    return load && { ...load, ownPrefillMs: decodePrefillTokensPerSecond && load.prefillMs * prefillTokensPerSecond / decodePrefillTokensPerSecond }
  }

  describe () {
    return {
      ttftErrorMs: Math.round(this.ttftErrorMs),
      placesLimit: this.placesLimit.slots,
      usualAnswerShare: Number(this.lengths.typicalShare.toFixed(2)),
    }
  }

  /** The part of a decode engine that a request fills, by its memory or its place. */
  #engineShareOf (kvBytes: number): number {
    const { kvBytesPerEngine, placesPerEngine } = this.#ledger.shard.decodePool
    return Math.max(kvBytes / kvBytesPerEngine, 1 / placesPerEngine)
  }
}
