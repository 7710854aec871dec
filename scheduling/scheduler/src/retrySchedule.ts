export interface RetryScheduleOptions {
  /** The shortest time to return. */
  minDelayMs: number
  /** The longest time to return. */
  maxDelayMs: number
}

/** A request that is refused. */
export interface RefusedRequest {
  returnId: string
  /** When its caller first tried. */
  firstArrivedAtMs: number
  /** Until a place is expected behind all that wait now. */
  expectedWaitMs: number
  /** From its place to the next that can be promised. */
  intervalMs: number
  /** The longest time to return that its caller honours. */
  maxHonouredDelayMs: number
}

/** What is remembered of a refused request. */
export interface ScheduledRetry {
  firstArrivedAtMs: number
  dueAtMs: number
  /** Capacity is kept for it. */
  promised: boolean
}

/** A returning request may come this much early or late: the way to its box and a new connection, and callers that wait for the next full second. */
const EARLY_TOLERANCE_MS = 50
const LATE_TOLERANCE_MS = 1500

/**
 * Gives refused requests times to return, one after the other in the order in
 * which they came, and keeps capacity for them. Who would have to wait longer
 * than its caller does gets no promise: it is told to come as late as it can.
 */
export class RetrySchedule {
  readonly #opts: RetryScheduleOptions
  readonly #retries = new Map<string, ScheduledRetry>()
  #reservedUntilMs = 0
  #nextExpiryMs = Number.POSITIVE_INFINITY

  constructor (opts: RetryScheduleOptions) {
    this.#opts = opts
  }

  get size (): number {
    return this.#retries.size
  }

  /** Books the next free time. Answers with the delay after which to return. */
  schedule ({ returnId, firstArrivedAtMs, expectedWaitMs, intervalMs, maxHonouredDelayMs }: RefusedRequest, nowMs: number): number {
    const { minDelayMs, maxDelayMs } = this.#opts
    const maxDelayUsedMs = Math.min(maxDelayMs, maxHonouredDelayMs)
    const slotAtMs = Math.max(this.#reservedUntilMs, nowMs + Math.max(minDelayMs, Math.min(expectedWaitMs, maxDelayUsedMs)))
    const promised = slotAtMs - nowMs <= maxDelayUsedMs
    if (promised) this.#reservedUntilMs = slotAtMs + intervalMs
    const dueAtMs = promised ? slotAtMs : nowMs + maxDelayUsedMs
    this.#retries.set(returnId, { firstArrivedAtMs, dueAtMs, promised })
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, dueAtMs + LATE_TOLERANCE_MS)
    return dueAtMs - nowMs
  }

  /** What was booked for a request that comes back when it was told to. */
  findDue (returnId: string, nowMs: number): ScheduledRetry | undefined {
    const retry = this.#retries.get(returnId)
    return retry && nowMs >= retry.dueAtMs - EARLY_TOLERANCE_MS && nowMs <= retry.dueAtMs + LATE_TOLERANCE_MS ? retry : undefined
  }

  /** When requests are yet to come back for places that they were promised, sorted. */
  promisesDueAtMs (nowMs: number): number[] {
    return [...this.#retries.values()]
      .filter(({ promised, dueAtMs }) => promised && dueAtMs > nowMs)
      .map(({ dueAtMs }) => dueAtMs)
      .sort((a, b) => a - b)
  }

  remove (returnId: string): void {
    this.#retries.delete(returnId)
  }

  expire (nowMs: number): void {
    if (nowMs < this.#nextExpiryMs) return
    this.#retries.forEach(({ dueAtMs }, returnId) => {
      if (dueAtMs + LATE_TOLERANCE_MS < nowMs) this.#retries.delete(returnId)
    })
    const expiriesMs = [...this.#retries.values()].map(({ dueAtMs }) => dueAtMs + LATE_TOLERANCE_MS)
    this.#nextExpiryMs = Math.min(Number.POSITIVE_INFINITY, ...expiriesMs.map((atMs) => Math.max(atMs, nowMs + 1)))
  }
}
