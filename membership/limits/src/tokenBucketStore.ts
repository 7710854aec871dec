import { type Clock } from '@reelspan/core.env'
import { type BucketSize, TokenBucket } from './tokenBucket.js'

/** The current configuration of a token bucket. */
export interface BucketConfig extends BucketSize {
  /** Level of a bucket that is created here, when earlier usage is unknown. */
  initialLevel: number
}

export interface TokenBucketStoreOptions {
  clock: Clock
  /** Returns the current configuration for a name, or undefined if it has no limit. */
  configOf: (name: string) => BucketConfig | undefined
}

/** The token buckets kept at one box, by the name of their limit. */
export class TokenBucketStore {
  readonly #opts: TokenBucketStoreOptions
  readonly #buckets = new Map<string, TokenBucket>()

  constructor (opts: TokenBucketStoreOptions) {
    this.#opts = opts
  }

  /** Acquires a cost and returns 0, or returns the time until it can be acquired. */
  acquire (name: string, cost: number): number {
    const waitMs = this.waitMs(name, cost)
    if (waitMs === 0) this.#buckets.get(name)?.charge(cost)
    return waitMs
  }

  /** Returns the time until a cost can be acquired; 0 if it can be acquired now. */
  waitMs (name: string, cost: number): number {
    const { clock, configOf } = this.#opts
    const config = configOf(name)
    if (!config) {
      this.#buckets.delete(name)
      return 0
    }
    const nowMs = clock.nowMs()
    const bucket = this.#buckets.get(name) ?? new TokenBucket(config.initialLevel, nowMs)
    this.#buckets.set(name, bucket)
    return bucket.waitMs(cost, config, nowMs)
  }

  /**
   * Removes the buckets that another box coordinates by now. A bucket retained meanwhile would have refilled when
   * this box coordinates it again, so that each transient partition would allow an additional full burst.
   */
  retain (isCoordinator: (name: string) => boolean): void {
    [...this.#buckets.keys()].filter((name) => !isCoordinator(name)).forEach((name) => this.forget(name))
  }

  forget (name: string): void {
    this.#buckets.delete(name)
  }

  /** Releases an acquired cost that was not used. */
  release (name: string, cost: number): void {
    this.#buckets.get(name)?.charge(-cost)
  }
}
