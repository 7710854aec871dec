import { build } from 'hdr-histogram-js'

/** Quantiles that distinguish a busy event loop from single long pauses. */
const QUANTILES = [0.5, 0.99, 1]
const MAX_DELAY_MS = 3_600_000

export interface LoopDelayQuantile {
  /** Between 0 and 1. */
  quantile: number
  delayMs: number
}

/**
 * Measures the event loop's delay by how late the process's existing timers fire; a box
 * has some ten due each second. A dedicated timer every 20 ms would cause 50 of an idle
 * box's 74 wake-ups a second (context switches of its process).
 */
export class LoopDelay {
  readonly #delays = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_DELAY_MS, numberOfSignificantValueDigits: 2, useWebAssembly: false })

  /** Records how late a timer fired. */
  record (lateMs: number): void {
    this.#delays.recordValue(Math.min(MAX_DELAY_MS, Math.max(0, Math.floor(lateMs))))
  }

  /** Returns the quantiles since the last call, and starts over. */
  collectQuantiles (): LoopDelayQuantile[] {
    const quantiles = QUANTILES.map((quantile) => ({ quantile, delayMs: this.#delays.getValueAtPercentile(100 * quantile) }))
    this.#delays.reset()
    return quantiles
  }
}
