export interface ReturnCalendarOptions {
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
  placeInMs: number
  /** From its place to the next that can be promised. */
  costMs: number
  /** The longest time to return that its caller honours. */
  honouredMs: number
}

/** What is remembered of a refused request. */
export interface BookedReturn {
  firstArrivedAtMs: number
  dueAtMs: number
  /** Capacity is kept for it. */
  promised: boolean
}

/** A returning request may come this much early or late: the way to its box and a new connection, and callers that wait for the next full second. */
const EARLY_MS = 50
const LATE_MS = 1500

/**
 * Gives refused requests times to return, one after the other in the order in
 * which they came, and keeps capacity for them. Who would have to wait longer
 * than its caller does gets no promise: it is told to come as late as it can.
 */
export class ReturnCalendar {
  readonly #opts: ReturnCalendarOptions
  readonly #booked = new Map<string, BookedReturn>()
  #bookedUntilMs = 0
  #nextExpiryMs = Number.POSITIVE_INFINITY

  constructor (opts: ReturnCalendarOptions) {
    this.#opts = opts
  }

  get size (): number {
    return this.#booked.size
  }

  /** Books the next free time. Answers with the delay after which to return. */
  book ({ returnId, firstArrivedAtMs, placeInMs, costMs, honouredMs }: RefusedRequest, nowMs: number): number {
    const { minDelayMs, maxDelayMs } = this.#opts
    const longestMs = Math.min(maxDelayMs, honouredMs)
    const placeAtMs = Math.max(this.#bookedUntilMs, nowMs + Math.max(minDelayMs, Math.min(placeInMs, longestMs)))
    const promised = placeAtMs - nowMs <= longestMs
    if (promised) this.#bookedUntilMs = placeAtMs + costMs
    const dueAtMs = promised ? placeAtMs : nowMs + longestMs
    this.#booked.set(returnId, { firstArrivedAtMs, dueAtMs, promised })
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, dueAtMs + LATE_MS)
    return dueAtMs - nowMs
  }

  /** What was booked for a request that comes back when it was told to. */
  due (returnId: string, nowMs: number): BookedReturn | undefined {
    const booked = this.#booked.get(returnId)
    return booked && nowMs >= booked.dueAtMs - EARLY_MS && nowMs <= booked.dueAtMs + LATE_MS ? booked : undefined
  }

  /** When requests are yet to come back for places that they were promised, sorted. */
  promisesDueAtMs (nowMs: number): number[] {
    return [...this.#booked.values()]
      .filter(({ promised, dueAtMs }) => promised && dueAtMs > nowMs)
      .map(({ dueAtMs }) => dueAtMs)
      .sort((a, b) => a - b)
  }

  forget (returnId: string): void {
    this.#booked.delete(returnId)
  }

  expire (nowMs: number): void {
    if (nowMs < this.#nextExpiryMs) return
    this.#booked.forEach(({ dueAtMs }, returnId) => {
      if (dueAtMs + LATE_MS < nowMs) this.#booked.delete(returnId)
    })
    const expiriesMs = [...this.#booked.values()].map(({ dueAtMs }) => dueAtMs + LATE_MS)
    this.#nextExpiryMs = Math.min(Number.POSITIVE_INFINITY, ...expiriesMs.map((atMs) => Math.max(atMs, nowMs + 1)))
  }
}
