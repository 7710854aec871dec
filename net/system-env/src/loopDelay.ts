import { type IntervalHistogram, monitorEventLoopDelay } from 'node:perf_hooks'

/** Quantiles that tell a busy loop from single long pauses. */
const QUANTILES = [0.5, 0.99, 1]
/** Pauses of the length of a token's time show; 50 wakes a second cost next to nothing. */
const RESOLUTION_MS = 20
const NS_PER_MS = 1e6

export interface LoopDelayQuantile {
  /** Between 0 and 1. */
  quantile: number
  delayMs: number
}

/** How late the process's event loop gets to what is due. */
export class LoopDelay {
  readonly #intervals: IntervalHistogram

  constructor () {
    this.#intervals = monitorEventLoopDelay({ resolution: RESOLUTION_MS })
    this.#intervals.enable()
  }

  /** Quantiles since they were last taken. */
  take (): LoopDelayQuantile[] {
    // Node measures the whole time between two wakes, the wait that was asked for included.
    const taken = QUANTILES.map((quantile) => ({ quantile, delayMs: Math.max(0, this.#intervals.percentile(100 * quantile) / NS_PER_MS - RESOLUTION_MS) }))
    this.#intervals.reset()
    return taken
  }
}
