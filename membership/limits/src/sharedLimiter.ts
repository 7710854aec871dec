/** What a request takes from a limit. */
export interface LimitedCost {
  /** Whose limit it is. */
  name: string
  /** In units of the limit. */
  cost: number
}

/** Keeps limits over all boxes. */
export abstract class SharedLimiter {
  /** Resolves with 0 when the cost is taken, else with the time until it could be. */
  abstract take (taken: LimitedCost): Promise<number>

  /** The request has not run and will not. */
  abstract giveBack (taken: LimitedCost): void
}
