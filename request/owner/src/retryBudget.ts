export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  perRequest: number
  /** Present upper bound of the budget, and its initial value. */
  maxRetries: () => number
}

/** Token bucket that limits retries to a small share of all requests, so that they do not overload a failing upstream. */
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

  /** Takes one retry from the budget. Returns false if the budget is exhausted. */
  tryAcquireRetry (): boolean {
    if (this.#left < 1) return false
    this.#left--
    return true
  }
}
