export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  perRequest: number
  /** The budget's upper bound at present, and what it starts with. */
  maxRetries: () => number
}

/** Keeps retries a small part of all requests, so that a failing upstream is not buried in them. */
export class RetryBudget {
  readonly #opts: RetryBudgetOptions
  #left: number

  constructor (opts: RetryBudgetOptions) {
    this.#opts = opts
    this.#left = opts.maxRetries()
  }

  get left (): number {
    return this.#left
  }

  recordRequest (): void {
    this.#left = Math.min(this.#opts.maxRetries(), this.#left + this.#opts.perRequest)
  }

  /** Takes one retry from the budget, if there is one. */
  tryAcquireRetry (): boolean {
    if (this.#left < 1) return false
    this.#left--
    return true
  }
}
