/** The cost of one request to a limit. */
export interface LimitedCost {
  /** Name of the limit's holder, such as an account or upstream. */
  name: string
  /** Amount, in units of the limit. */
  cost: number
}

/** Enforces limits that apply to all boxes together. */
export abstract class SharedLimiter {
  /** Acquires a cost and returns 0, or returns the time until it can be acquired. */
  abstract acquire (charge: LimitedCost): Promise<number>

  /** Releases the cost of a request that has not run and will not. */
  abstract release (charge: LimitedCost): void
}
