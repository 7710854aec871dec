import { isOwnPrefill, type PlacementReport } from '@reelspan/core.messages'
import { type LedgerEntry, type ShardLedger } from '@reelspan/scheduling.ledger'
import { AnswerLengths } from './answerLengths.js'
import { PlacesLimit } from './placesLimit.js'
import { QuantileEstimator } from './quantileEstimator.js'
import { type ObservedLoad, ShardLoad } from './shardLoad.js'

/** First guess of how much later than estimated first tokens come. */
const FIRST_PATH_MS = 10

/** What the requests take of the engines, and whether decode engines could compute prompts. */
export type LearntLoad = ObservedLoad & {
  /** Time of a decode engine that a prompt takes which it computes itself; nothing where none can. */
  ownPrefillMs?: number
}

/** What is learnt from placements of one shard, as they are made and as they end. */
export class PlacementLessons {
  readonly lengths = new AnswerLengths()
  readonly placesLimit: PlacesLimit
  readonly #ledger: ShardLedger
  readonly #load = new ShardLoad()
  readonly #ttftError = new QuantileEstimator({ quantile: 0.85, firstMs: FIRST_PATH_MS, minMs: 5, maxMs: 60 })

  constructor (ledger: ShardLedger) {
    this.#ledger = ledger
    this.placesLimit = new PlacesLimit(ledger.shard.decodePool.placesPerEngine)
  }

  /** How much later than estimated first tokens come, for most. */
  get ttftErrorMs (): number {
    return this.#ttftError.valueMs
  }

  /** A request came for the first time. */
  noteArrival (nowMs: number): void {
    this.#load.noteArrival(nowMs)
  }

  /**
   * A request was placed.
   *
   * @param prefillMs the time that its prompt would take of a prefill engine, whoever computes it
   * @param usualAnswerMs how long its answer lasts if it is as long as answers usually are
   */
  notePlaced ({ prefillMs, usualAnswerMs, kvBytes }: { prefillMs: number, usualAnswerMs: number, kvBytes: number }): void {
    this.#load.notePlaced(prefillMs, this.#fillOf(kvBytes) * usualAnswerMs)
  }

  /** An answer is whole. */
  noteEnded (entry: LedgerEntry, report: PlacementReport, nowMs: number): void {
    this.#load.noteEnded(this.#fillOf(entry.kvBytes) * Math.max(0, nowMs - entry.importEndMs))
    // What a decode engine computes itself has a speed of its own.
    if (!isOwnPrefill(entry)) this.#ttftError.learn(report.ttftErrorMs)
    this.lengths.learn(report.completionTokens, entry.maxTokens)
    this.placesLimit.learn(report.tbtP50Ms, entry.tbtTargetMs)
  }

  /** Nothing until enough requests were seen. */
  observedLoad (nowMs: number): LearntLoad | undefined {
    const { prefillTokensPerSecond, decodePrefillTokensPerSecond } = this.#ledger.shard.spec
    const load = this.#load.observed(nowMs)
    return load && { ...load, ownPrefillMs: decodePrefillTokensPerSecond && load.prefillMs * prefillTokensPerSecond / decodePrefillTokensPerSecond }
  }

  describe () {
    return {
      ttftErrorMs: Math.round(this.ttftErrorMs),
      placesLimit: this.placesLimit.places,
      usualAnswerShare: Number(this.lengths.usualShare.toFixed(2)),
    }
  }

  /** The part of a decode engine that a request fills, by its memory or its place. */
  #fillOf (kvBytes: number): number {
    const { kvBytesPerEngine, placesPerEngine } = this.#ledger.shard.decodePool
    return Math.max(kvBytes / kvBytesPerEngine, 1 / placesPerEngine)
  }
}
