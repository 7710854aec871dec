const MS_PER_SECOND = 1000

/** Rate and burst of a token bucket, in units of the limit. */
export interface BucketSize {
  perSecond: number
  burst: number
}

/** A token bucket, refilled at its rate up to its burst. */
export class TokenBucket {
  #level: number
  #refilledAtMs: number

  constructor (level: number, nowMs: number) {
    this.#level = level
    this.#refilledAtMs = nowMs
  }

  /**
   * Returns how long a caller has to wait to acquire a cost; 0 if it can be acquired now. The size may differ
   * from that of the last call. A cost above the burst can be acquired from a full bucket, whose level then becomes negative.
   */
  waitMs (cost: number, size: BucketSize, nowMs: number): number {
    this.#refill(size, nowMs)
    const deficit = Math.min(cost, size.burst) - this.#level
    return deficit > 0 ? Math.max(1, deficit / size.perSecond * MS_PER_SECOND) : 0
  }

  /** Acquires the cost and returns 0, or acquires nothing and returns how long the caller has to wait. */
  acquire (cost: number, size: BucketSize, nowMs: number): number {
    const waitMs = this.waitMs(cost, size, nowMs)
    if (waitMs === 0) this.#level -= cost
    return waitMs
  }

  /** Subtracts the cost from the level, even below zero. A negative cost releases tokens. */
  charge (cost: number): void {
    this.#level -= cost
  }

  /** Resumes a bucket that was not in use: the time in between refills nothing. */
  resume (nowMs: number): void {
    this.#refilledAtMs = nowMs
  }

  #refill ({ perSecond, burst }: BucketSize, nowMs: number): void {
    const filled = this.#level + (nowMs - this.#refilledAtMs) / MS_PER_SECOND * perSecond
    this.#level = Math.min(burst, filled)
    this.#refilledAtMs = nowMs
  }
}
