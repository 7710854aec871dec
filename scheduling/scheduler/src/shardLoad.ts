import { RecentEvents } from './recentEvents.js'

/** Mean engine time per request of a shard, and the arrival rate. */
export interface ObservedLoad {
  /** Prefill engine time per prompt. */
  prefillMs: number
  /** Decode engine time per answer: its duration times the share of the engine that it occupies. */
  decodeMs: number
  /** New requests per millisecond: the recent peak, decaying over time. */
  arrivalsPerMs: number
}

/** Window for counting arrivals: long enough for tens of them, short enough to show a burst. */
const WINDOW_MS = 3000
/** Minimum number of requests for an estimate: sizes vary by about a half, so the mean of 10 varies by about a sixth. */
const MIN_SAMPLES = 10
/** Time constant of the peak rate's decay: bursts are about 10 s apart. */
const PEAK_DECAY_MS = 30_000
/** Weight of one request: the mean covers about 30 requests, which arrive within a few seconds. */
const EWMA_WEIGHT = 0.03
/** Until this many answers have ended, expected durations are mixed in: the first answers to end are the short ones. */
const MIN_COMPLETIONS = 60

/** Estimates the engine time per request and the arrival rate of one shard. */
export class ShardLoad {
  readonly #arrived = new RecentEvents(WINDOW_MS)
  readonly #prefillMs = new WeightedMean()
  readonly #expectedMs = new WeightedMean()
  readonly #completedMs = new WeightedMean()
  #firstAtMs = Number.POSITIVE_INFINITY
  #peakPerMs = 0
  #peakAtMs = 0

  /** Records a first attempt; retries are not counted. */
  recordArrival (nowMs: number): void {
    this.#arrived.record(nowMs)
    this.#firstAtMs = Math.min(this.#firstAtMs, nowMs)
    const count = this.#arrived.countSince(nowMs - WINDOW_MS, nowMs)
    const countedMs = Math.min(WINDOW_MS, nowMs - this.#firstAtMs)
    const ratePerMs = count < MIN_SAMPLES ? 0 : count / countedMs
    this.#peakPerMs = Math.max(ratePerMs, this.#decayedPeakPerMs(nowMs))
    this.#peakAtMs = nowMs
  }

  /** Records a placement with the prefill and decode engine time that it would take if a prefill engine computed the prompt. */
  recordPlacement (prefillMs: number, expectedDecodeMs: number): void {
    this.#prefillMs.observe(prefillMs)
    this.#expectedMs.observe(expectedDecodeMs)
  }

  /** Records the decode engine time of a finished request. */
  recordCompletion (decodeMs: number): void {
    this.#completedMs.observe(decodeMs)
  }

  /** Returns undefined until enough requests were placed. */
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

/** A cumulative mean that turns into an EWMA after enough samples. */
class WeightedMean {
  count = 0
  value = 0

  observe (sample: number): void {
    this.count++
    this.value += Math.max(EWMA_WEIGHT, 1 / this.count) * (sample - this.value)
  }
}
