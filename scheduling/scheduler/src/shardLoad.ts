import { RecentEvents } from './recentEvents.js'

/** What the requests of a shard take of its engines, and how fast they come. */
export interface ObservedLoad {
  /** Time of a prefill engine that a prompt takes. */
  prefillMs: number
  /** Time of a decode engine that an answer takes: how long it lasts, times the part of the engine that it fills. */
  decodeMs: number
  /** New requests a millisecond, at the busiest of the last while. */
  arrivalsPerMs: number
}

/** Arrivals are counted over this time: some tens of them, and a burst shows within it. */
const WINDOW_MS = 3000
/** Fewer requests than this say little about the next ones: their sizes differ by a half, their mean by a sixth. */
const MIN_SAMPLES = 10
/** A busy time is remembered about this long: bursts come some ten seconds apart. */
const PEAK_DECAY_MS = 30_000
/** Weight of one request: some thirty are remembered, a few seconds of them. */
const EWMA_WEIGHT = 0.03
/** Until this many answers have ended, what was expected of them counts as well: the first to end are the short ones. */
const MIN_COMPLETIONS = 60

/** Learns what requests take of the engines of one shard. */
export class ShardLoad {
  readonly #arrived = new RecentEvents(WINDOW_MS)
  readonly #prefillMs = new WeightedMean()
  readonly #expectedMs = new WeightedMean()
  readonly #completedMs = new WeightedMean()
  #firstAtMs = Number.POSITIVE_INFINITY
  #peakPerMs = 0
  #peakAtMs = 0

  /** A request came for the first time. */
  recordArrival (nowMs: number): void {
    this.#arrived.record(nowMs)
    this.#firstAtMs = Math.min(this.#firstAtMs, nowMs)
    const count = this.#arrived.countSince(nowMs - WINDOW_MS, nowMs)
    const countedMs = Math.min(WINDOW_MS, nowMs - this.#firstAtMs)
    const ratePerMs = count < MIN_SAMPLES ? 0 : count / countedMs
    this.#peakPerMs = Math.max(ratePerMs, this.#decayedPeakPerMs(nowMs))
    this.#peakAtMs = nowMs
  }

  /** A request was placed. Its times are those that it would take of a prefill and of a decode engine, whoever computes the prompt. */
  recordPlacement (prefillMs: number, expectedDecodeMs: number): void {
    this.#prefillMs.observe(prefillMs)
    this.#expectedMs.observe(expectedDecodeMs)
  }

  /** An answer is whole. */
  recordCompletion (decodeMs: number): void {
    this.#completedMs.observe(decodeMs)
  }

  /** Nothing until enough requests were placed. */
  observed (nowMs: number): ObservedLoad | undefined {
    if (this.#prefillMs.count < MIN_SAMPLES) return undefined
    const completedWeight = Math.min(1, this.#completedMs.count / MIN_COMPLETIONS)
    return {
      prefillMs: this.#prefillMs.value,
      decodeMs: completedWeight * this.#completedMs.value + (1 - completedWeight) * this.#expectedMs.value,
      arrivalsPerMs: this.#decayedPeakPerMs(nowMs),
    }
  }

  #decayedPeakPerMs (nowMs: number): number {
    return this.#peakPerMs * Math.exp(-(nowMs - this.#peakAtMs) / PEAK_DECAY_MS)
  }
}

/** A mean in which late values weigh more. */
class WeightedMean {
  count = 0
  value = 0

  observe (sample: number): void {
    this.count++
    this.value += Math.max(EWMA_WEIGHT, 1 / this.count) * (sample - this.value)
  }
}
