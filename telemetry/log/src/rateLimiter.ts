export interface RateLimiterOptions {
  /** Milliseconds on a monotonic clock. */
  nowMs: () => number
  perSecond: number
}

const MS_PER_SECOND = 1000

/** Limits events to a number per second, in fixed windows of one second. */
export class RateLimiter {
  readonly #opts: RateLimiterOptions
  #windowStartMs = Number.NEGATIVE_INFINITY
  #countInWindow = 0

  constructor (opts: RateLimiterOptions) {
    this.#opts = opts
  }

  /** Returns whether one more event is allowed now, and counts it. */
  tryAcquire (): boolean {
    const nowMs = this.#opts.nowMs()
    if (nowMs - this.#windowStartMs >= MS_PER_SECOND) {
      this.#windowStartMs = nowMs
      this.#countInWindow = 0
    }
    return this.#countInWindow++ < this.#opts.perSecond
  }
}
