import { build } from 'hdr-histogram-js'

/** Quantiles that tell a busy loop from single long pauses. */
const QUANTILES = [0.5, 0.99, 1]
const LONGEST_MS = 3_600_000

export interface LoopDelayQuantile {
  /** Between 0 and 1. */
  quantile: number
  delayMs: number
}

/**
 * How late the process's event loop gets to what is due, by the timers that it has
 * anyway: a box has some ten due each second. A timer of its own each 20 ms made
 * 50 of an idle box's 74 wakes a second (context switches of its process, counted
 * over 2 s).
 */
export class LoopDelay {
  readonly #delays = build({ lowestDiscernibleValue: 1, highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: 2, useWebAssembly: false })

  /** A timer was due this long before it fired. */
  note (lateMs: number): void {
    this.#delays.recordValue(Math.min(LONGEST_MS, Math.max(0, Math.floor(lateMs))))
  }

  /** Quantiles since they were last taken. */
  take (): LoopDelayQuantile[] {
    const taken = QUANTILES.map((quantile) => ({ quantile, delayMs: this.#delays.getValueAtPercentile(100 * quantile) }))
    this.#delays.reset()
    return taken
  }
}
