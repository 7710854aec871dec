export interface RetryScheduleOptions {
  /** Lower bound of the retry delay, unless a refused request has its own. */
  minDelayMs: number
  /** Upper bound of the retry delay. */
  maxDelayMs: number
}

/** A request that is being refused. */
export interface RefusedRequest {
  returnId: string
  /** Time of the caller's first attempt. */
  firstArrivedAtMs: number
  /** Expected time until a slot is free after all requests that wait now and this many outstanding retries with a promised slot; infinite if none is expected. */
  slotMs: (promisedCount: number) => number
  /** The same if a share of the slots is reserved for retries: new requests leave no slot for them if they arrive as fast as slots become free. */
  reservedSlotMs: (promisedCount: number) => number
  /** Lower bound of the retry delay. */
  minDelayMs?: number
  /** Time after the assigned one for which the retry waits for a slot that no request in time needs. */
  graceMs: number
  /** The longest retry delay that its caller honours. */
  maxHonouredDelayMs: number
}

/** A refused request that is expected to be retried. */
export interface ScheduledRetry {
  firstArrivedAtMs: number
  dueAtMs: number
  /** From this time on it precedes requests that can be in time, if a slot was promised. */
  precedesAtMs: number
  /** Whether a slot is reserved for the retry. */
  promised: boolean
}

/** Share of its useful time for which a retry with a promised slot waits for a slot that no request in time needs. */
export const PROMISE_DUE_SHARE = 0.25
/** Tolerance for early and late retries: network delay, the time for a new connection, and callers that round the delay up to full seconds. */
const EARLY_TOLERANCE_MS = 50
const LATE_TOLERANCE_MS = 1500

/**
 * Assigns retry times to refused requests, each after the slots of those promised before,
 * and counts them as promised. If the retry time would be later than the caller honours,
 * nothing is promised, and the caller gets the longest delay that it honours.
 */
export class RetrySchedule {
  readonly #opts: RetryScheduleOptions
  readonly #retries = new Map<string, ScheduledRetry>()
  #nextExpiryMs = Number.POSITIVE_INFINITY

  constructor (opts: RetryScheduleOptions) {
    this.#opts = opts
  }

  get size (): number {
    return this.#retries.size
  }

  /** Assigns the next free retry time. Returns the delay until then. */
  schedule ({ returnId, firstArrivedAtMs, slotMs, reservedSlotMs, graceMs, maxHonouredDelayMs, minDelayMs = this.#opts.minDelayMs }: RefusedRequest, nowMs: number): number {
    const longestDelayMs = Math.min(this.#opts.maxDelayMs, maxHonouredDelayMs)
    const promisedCount = this.promisesDueAtMs(nowMs).length
    const dueAtMs = nowMs + Math.min(longestDelayMs, Math.max(minDelayMs, slotMs(promisedCount)))
    const promised = Math.min(slotMs(promisedCount), reservedSlotMs(promisedCount)) <= longestDelayMs
    this.#retries.set(returnId, { firstArrivedAtMs, dueAtMs, precedesAtMs: dueAtMs + graceMs, promised })
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, dueAtMs + LATE_TOLERANCE_MS)
    return dueAtMs - nowMs
  }

  /** Returns the scheduled retry of a request if it is retried at about the assigned time. */
  findDue (returnId: string, nowMs: number): ScheduledRetry | undefined {
    const retry = this.#retries.get(returnId)
    return retry && nowMs >= retry.dueAtMs - EARLY_TOLERANCE_MS && nowMs <= retry.dueAtMs + LATE_TOLERANCE_MS ? retry : undefined
  }

  /** Time until the retry delay of a refused request has passed; undefined if it was not refused or the delay has passed. */
  remainingMs (returnId: string, nowMs: number): number | undefined {
    const retry = this.#retries.get(returnId)
    return retry && nowMs < retry.dueAtMs - EARLY_TOLERANCE_MS ? retry.dueAtMs - nowMs : undefined
  }

  /** Times at which outstanding retries with a promised slot precede requests that can be in time, sorted. */
  promisesDueAtMs (nowMs: number): number[] {
    return [...this.#retries.values()]
      .filter(({ promised, dueAtMs }) => promised && dueAtMs > nowMs)
      .map(({ precedesAtMs }) => precedesAtMs)
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
