import { TokenBucketStore, type TokenBucketStoreOptions } from './tokenBucketStore.js'
import { type LimitedCost, SharedLimiter } from './sharedLimiter.js'

/** Gives each box an equal share of each limit, without coordination. */
export class EvenShareLimiter extends SharedLimiter {
  readonly #buckets: TokenBucketStore

  constructor (opts: TokenBucketStoreOptions) {
    super()
    this.#buckets = new TokenBucketStore(opts)
  }

  async acquire ({ name, cost }: LimitedCost): Promise<number> {
    return this.#buckets.acquire(name, cost)
  }

  release ({ name, cost }: LimitedCost): void {
    this.#buckets.release(name, cost)
  }

  /** Removes the token bucket of a limit; the next cost creates it anew. */
  forget (name: string): void {
    this.#buckets.forget(name)
  }
}
