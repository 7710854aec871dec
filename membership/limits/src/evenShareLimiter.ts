import { TokenBucketStore, type TokenBucketStoreOptions } from './tokenBucketStore.js'
import { type LimitedCost, SharedLimiter } from './sharedLimiter.js'

/** Gives each box an equal share of each limit, without coordination. */
export class EvenShareLimiter extends SharedLimiter {
  readonly #buckets: TokenBucketStore

  constructor (opts: TokenBucketStoreOptions) {
    super()
    this.#buckets = new TokenBucketStore(opts)
  }

  async take ({ name, cost }: LimitedCost): Promise<number> {
    return this.#buckets.take(name, cost)
  }

  giveBack ({ name, cost }: LimitedCost): void {
    this.#buckets.giveBack(name, cost)
  }

  /** Removes the token bucket of a limit; the next cost creates it anew. */
  forget (name: string): void {
    this.#buckets.forget(name)
  }
}
