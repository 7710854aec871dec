const MS_PER_SECOND = 1000

/** Rate and burst of a bucket, in units of the limit. */
export interface BucketSize {
  perSecond: number
  burst: number
}

/** What an account has left of its limit. Fills at the rate, up to the burst. */
export class LimitBucket {
  #level: number
  #atMs: number

  constructor (level: number, nowMs: number) {
    this.#level = level
    this.#atMs = nowMs
  }

  /**
   * Takes the cost and answers 0, or takes nothing and answers how long the caller has to wait for it. The size may
   * have changed since the last time. What is larger than the bucket is taken when that is full, and owed.
   */
  take (cost: number, size: BucketSize, nowMs: number): number {
    this.#fill(size, nowMs)
    const lacking = Math.min(cost, size.burst) - this.#level
    if (lacking > 0) return Math.max(1, lacking / size.perSecond * MS_PER_SECOND)
    this.#level -= cost
    return 0
  }

  /** Takes the cost, whatever is left. A negative one gives it back. */
  charge (cost: number): void {
    this.#level -= cost
  }

  #fill ({ perSecond, burst }: BucketSize, nowMs: number): void {
    const filled = this.#level + (nowMs - this.#atMs) / MS_PER_SECOND * perSecond
    this.#level = Math.min(burst, filled)
    this.#atMs = nowMs
  }
}
