/**
 * Measures time in which this process ran, from regular checks. Of the time since the last check at most
 * two periods count, so that a paused or suspended process does not take its own pause for one of its peers.
 */
export class RunningTime {
  readonly #periodMs: number
  #lastMs: number
  #totalMs = 0

  constructor (periodMs: number, nowMs: number) {
    this.#periodMs = periodMs
    this.#lastMs = nowMs
  }

  get totalMs (): number {
    return this.#totalMs
  }

  /** Returns the counted time since the last call. */
  advance (nowMs: number): number {
    const elapsedMs = Math.min(2 * this.#periodMs, nowMs - this.#lastMs)
    this.#lastMs = nowMs
    this.#totalMs += elapsedMs
    return elapsedMs
  }
}
