/** What a request takes from its account's limit. */
export interface LimitedCost {
  account: string
  /** In units of the limit. */
  cost: number
}

/** Keeps client accounts within their limits, over all boxes. */
export abstract class AccountLimiter {
  /** Resolves with 0 when the cost is taken, else with the time until it could be. */
  abstract take (taken: LimitedCost): Promise<number>

  /** The request has not run and will not. */
  abstract giveBack (taken: LimitedCost): void
}
