export interface ReturnCalendarOptions {
  /** Part of the shard's capacity that is kept for requests that were asked to return. */
  share: number
  /** The shortest time to return. */
  minDelayMs: number
  /** The longest; a request that would have to wait longer gets no promise. */
  maxDelayMs: number
}

/** A returning request may come this much early or late. */
const EARLY_MS = 50
const LATE_MS = 1500

/** Gives refused requests times to return at which capacity is kept for them. */
export class ReturnCalendar {
  readonly #opts: ReturnCalendarOptions
  readonly #dueAtMs = new Map<string, number>()
  #bookedUntilMs = 0

  constructor (opts: ReturnCalendarOptions) {
    this.#opts = opts
  }

  get size (): number {
    return this.#dueAtMs.size
  }

  /**
   * Books the next free time.
   *
   * @param costMs time for which the whole shard is busy with the request
   * @returns the delay after which to return
   */
  book (returnId: string, costMs: number, nowMs: number): number {
    const { share, minDelayMs, maxDelayMs } = this.#opts
    const dueAtMs = Math.max(this.#bookedUntilMs, nowMs + minDelayMs)
    if (dueAtMs - nowMs > maxDelayMs) return maxDelayMs
    this.#bookedUntilMs = dueAtMs + costMs / share
    this.#dueAtMs.delete(returnId)
    this.#dueAtMs.set(returnId, dueAtMs)
    return dueAtMs - nowMs
  }

  /** Whether the request has come back when it was told to. */
  isDue (returnId: string, nowMs: number): boolean {
    const dueAtMs = this.#dueAtMs.get(returnId)
    return dueAtMs !== undefined && nowMs >= dueAtMs - EARLY_MS && nowMs <= dueAtMs + LATE_MS
  }

  forget (returnId: string): void {
    this.#dueAtMs.delete(returnId)
  }

  expire (nowMs: number): void {
    // Booked in order of time, so the first one still due ends the scan.
    for (const [returnId, dueAtMs] of this.#dueAtMs) {
      if (dueAtMs + LATE_MS >= nowMs) return
      this.#dueAtMs.delete(returnId)
    }
  }
}
