export interface RateLimitOptions {
  /** Milliseconds on a steady clock. */
  nowMs: () => number
  perSecond: number
}

const MS_PER_SECOND = 1000

/** Lets so many things through in each second. */
export class RateLimit {
  readonly #opts: RateLimitOptions
  #secondBeganMs = Number.NEGATIVE_INFINITY
  #takenInSecond = 0

  constructor (opts: RateLimitOptions) {
    this.#opts = opts
  }

  /** Whether one more is let through. */
  take (): boolean {
    const nowMs = this.#opts.nowMs()
    if (nowMs - this.#secondBeganMs >= MS_PER_SECOND) {
      this.#secondBeganMs = nowMs
      this.#takenInSecond = 0
    }
    return this.#takenInSecond++ < this.#opts.perSecond
  }
}
