const MS_PER_SECOND = 1000

/** Rate and burst of a bucket, in units of the limit. */
export interface BucketSize {
  perSecond: number
  burst: number
}

/** What is left of a limit. Fills at the rate, up to the burst. */
export class LimitBucket {
  #level: number
  #atMs: number

  constructor (level: number, nowMs: number) {
    this.#level = level
    this.#atMs = nowMs
  }

  /**
   * How long a caller has to wait for a cost; 0 when there is room for it now. The size may have changed since
   * the last time. What is larger than the bucket finds room when that is full, and is owed.
   */
  waitMs (cost: number, size: BucketSize, nowMs: number): number {
    this.#fill(size, nowMs)
    const lacking = Math.min(cost, size.burst) - this.#level
    return lacking > 0 ? Math.max(1, lacking / size.perSecond * MS_PER_SECOND) : 0
  }

  /** Takes the cost and answers 0, or takes nothing and answers how long the caller has to wait for it. */
  take (cost: number, size: BucketSize, nowMs: number): number {
    const waitMs = this.waitMs(cost, size, nowMs)
    if (waitMs === 0) this.#level -= cost
    return waitMs
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
