export interface RetryScheduleOptions {
  /** Lower bound of the retry delay. */
  minDelayMs: number
  /** Upper bound of the retry delay. */
  maxDelayMs: number
}

/** A request that is being refused. */
export interface RefusedRequest {
  returnId: string
  /** Time of the caller's first attempt. */
  firstArrivedAtMs: number
  /** Expected time until a slot is free after all requests that wait now. */
  expectedWaitMs: number
  /** Time from its slot to the next one that can be promised. */
  intervalMs: number
  /** The longest retry delay that its caller honours. */
  maxHonouredDelayMs: number
}

/** A refused request that is expected to be retried. */
export interface ScheduledRetry {
  firstArrivedAtMs: number
  dueAtMs: number
  /** Whether a slot is reserved for the retry. */
  promised: boolean
}

/** Tolerance for early and late retries: network delay, the time for a new connection, and callers that round the delay up to full seconds. */
const EARLY_TOLERANCE_MS = 50
const LATE_TOLERANCE_MS = 1500

/**
 * Assigns retry times to refused requests, one after another in order of arrival, and
 * reserves capacity for them. If the retry time would be later than the caller honours,
 * nothing is promised, and the caller gets the longest delay that it honours.
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

  /** Assigns the next free retry time. Returns the delay until then. */
  schedule ({ returnId, firstArrivedAtMs, expectedWaitMs, intervalMs, maxHonouredDelayMs }: RefusedRequest, nowMs: number): number {
    const { minDelayMs, maxDelayMs } = this.#opts
    const longestDelayMs = Math.min(maxDelayMs, maxHonouredDelayMs)
    const slotAtMs = Math.max(this.#reservedUntilMs, nowMs + Math.max(minDelayMs, Math.min(expectedWaitMs, longestDelayMs)))
    const promised = slotAtMs - nowMs <= longestDelayMs
    if (promised) this.#reservedUntilMs = slotAtMs + intervalMs
    const dueAtMs = promised ? slotAtMs : nowMs + longestDelayMs
    this.#retries.set(returnId, { firstArrivedAtMs, dueAtMs, promised })
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, dueAtMs + LATE_TOLERANCE_MS)
    return dueAtMs - nowMs
  }

  /** Returns the scheduled retry of a request if it is retried at about the assigned time. */
  findDue (returnId: string, nowMs: number): ScheduledRetry | undefined {
    const retry = this.#retries.get(returnId)
    return retry && nowMs >= retry.dueAtMs - EARLY_TOLERANCE_MS && nowMs <= retry.dueAtMs + LATE_TOLERANCE_MS ? retry : undefined
  }

  /** Due times of outstanding retries with a promised slot, sorted. */
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
