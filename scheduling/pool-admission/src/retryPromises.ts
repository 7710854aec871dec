/** Share of the pool's rate that is promised to callers that return. The rest serves first attempts. */
const PROMISED_SHARE = 0.1
/** Callers are never told to wait longer. */
const MAX_DELAY_MS = 5000
/** Callers honour a delay of up to this share of their remaining time; a longer one is not remembered. */
const HONOURED_SHARE = 1 / 3
/** A caller returns within this time after the delay, or not at all. */
const RETURN_WITHIN_MS = 500
/** Clocks and network paths differ by some ms: a retry this much early counts as on time. */
const EARLY_TOLERANCE_MS = 10

/** Retry times given to refused callers, spaced at a share of the rate at which the pool serves calls. */
export class RetryPromises {
  /** When the callers return, by their return keys, in the order of the times. */
  readonly #dueAtMs = new Map<string, number>()
  #lastAtMs = Number.NEGATIVE_INFINITY

  /**
   * Returns the retry delay of a refused caller.
   *
   * @param drainMs time until the calls that wait now have been placed
   * @param perMs the rate at which the pool serves calls
   */
  promise (returnKey: string | undefined, { drainMs, perMs, usefulMs }: { drainMs: number, perMs: number, usefulMs: number }, nowMs: number): number {
    this.#expire(nowMs)
    const atMs = Math.min(nowMs + MAX_DELAY_MS, Math.max(nowMs + drainMs, this.#lastAtMs + 1 / (PROMISED_SHARE * perMs)))
    const delayMs = atMs - nowMs
    // A caller that will not return leaves its time to the next one.
    if (delayMs > HONOURED_SHARE * usefulMs) return delayMs
    this.#lastAtMs = atMs
    if (returnKey !== undefined) this.#dueAtMs.set(returnKey, atMs)
    return delayMs
  }

  /** Whether the caller returns on time. Its promise is then kept only once. */
  redeem (returnKey: string | undefined, nowMs: number): boolean {
    const dueAtMs = returnKey === undefined ? undefined : this.#dueAtMs.get(returnKey)
    if (returnKey === undefined || dueAtMs === undefined) return false
    this.#dueAtMs.delete(returnKey)
    return nowMs <= dueAtMs + RETURN_WITHIN_MS
  }

  /** Remaining delay of a caller that returns too early. Undefined if it may return now. */
  earlyByMs (returnKey: string | undefined, nowMs: number): number | undefined {
    const dueAtMs = returnKey === undefined ? undefined : this.#dueAtMs.get(returnKey)
    return dueAtMs !== undefined && dueAtMs - nowMs > EARLY_TOLERANCE_MS ? dueAtMs - nowMs : undefined
  }

  #expire (nowMs: number): void {
    for (const [returnKey, dueAtMs] of this.#dueAtMs) {
      if (dueAtMs + RETURN_WITHIN_MS >= nowMs) return
      this.#dueAtMs.delete(returnKey)
    }
  }
}
