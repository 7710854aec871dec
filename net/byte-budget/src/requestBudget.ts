import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'

export interface RequestBudgetOptions {
  clock: Clock
  totalBytes: number
  /** Called when a request is refused. */
  onRefused?: (usedBytes: number) => void
}

/** The rate at which bodies are released is averaged over about this time. */
const RATE_WINDOW_MS = 2000
/** The retry delay while nothing was released recently. */
const DEFAULT_RETRY_AFTER_MS = 1000
const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 5000

/** A budget of bytes for the bodies of requests in flight. A body counts from its receipt to the end of its request. */
export class RequestBudget {
  readonly #opts: RequestBudgetOptions
  #usedBytes = 0
  #releasedPerMs = 0
  #releasedAtMs: number

  constructor (opts: RequestBudgetOptions) {
    this.#opts = opts
    this.#releasedAtMs = opts.clock.nowMs()
  }

  get usedBytes (): number {
    return this.#usedBytes
  }

  open (): BodyAccount {
    return new BodyAccount(this)
  }

  /** Throws `ERR_REELSPAN_BODIES_FULL` if so many more bytes would exceed the budget. A request that is alone is always accepted. */
  check (moreBytes: number, ownBytes: number): void {
    const { totalBytes, onRefused } = this.#opts
    const missingBytes = this.#usedBytes + moreBytes - totalBytes
    if (missingBytes <= 0 || this.#usedBytes === ownBytes) return
    onRefused?.(this.#usedBytes)
    throw new ReelspanError(ErrorCode.BodiesFull, 'the bodies of requests in flight use all memory set aside for them', { retryAfterMs: this.#retryAfterMs(missingBytes) })
  }

  add (bytes: number): void {
    this.#usedBytes += bytes
  }

  release (bytes: number): void {
    this.#usedBytes -= bytes
    this.#releasedPerMs = this.#currentRate() + bytes / RATE_WINDOW_MS
    this.#releasedAtMs = this.#opts.clock.nowMs()
  }

  #currentRate (): number {
    return this.#releasedPerMs * Math.exp((this.#releasedAtMs - this.#opts.clock.nowMs()) / RATE_WINDOW_MS)
  }

  /** When the missing bytes will be free if bodies continue to be released at the present rate. */
  #retryAfterMs (missingBytes: number): number {
    const rate = this.#currentRate()
    return rate > 0 ? Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, missingBytes / rate)) : DEFAULT_RETRY_AFTER_MS
  }
}

/** The body of one request. */
export class BodyAccount {
  readonly #budget: RequestBudget
  #bytes = 0
  #released = false

  constructor (budget: RequestBudget) {
    this.#budget = budget
  }

  /** Throws `ERR_REELSPAN_BODIES_FULL` if a body of this length would exceed the budget. Nothing is reserved, since a caller that sends slowly must not keep others from sending. */
  expect (bytes: number): void {
    this.#budget.check(bytes, this.#bytes)
  }

  /** Adds received bytes. Throws `ERR_REELSPAN_BODIES_FULL` if they exceed the budget. */
  add (bytes: number): void {
    if (this.#released) return
    this.#budget.check(bytes, this.#bytes)
    this.#bytes += bytes
    this.#budget.add(bytes)
  }

  /** Called when the request has ended. */
  release (): void {
    if (this.#released) return
    this.#released = true
    if (this.#bytes > 0) this.#budget.release(this.#bytes)
  }
}
