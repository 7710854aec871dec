import { type Clock } from '@reelspan/core.env'
import { type BucketSize, TokenBucket } from './tokenBucket.js'

/** The current configuration of a token bucket. */
export interface BucketConfig extends BucketSize {
  /** Level of a bucket that is created here, when earlier usage is unknown. */
  initialLevel: number
  /** Costs above this are not granted here. By default any cost is granted from a full bucket. */
  maxCost?: number
}

export interface TokenBucketStoreOptions {
  clock: Clock
  /** Returns the current configuration for a name, or undefined if it has no limit. */
  configOf: (name: string) => BucketConfig | undefined
  /** How long the level of a bucket that another box coordinates by now is kept. By default it is not kept. */
  keepUnusedMs?: number
}

/** The token buckets kept at one box, by the name of their limit. */
export class TokenBucketStore {
  readonly #opts: TokenBucketStoreOptions
  readonly #buckets = new Map<string, TokenBucket>()
  /** Buckets that another box coordinates by now. */
  readonly #unused = new Map<string, { bucket: TokenBucket, untilMs: number }>()

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
    if (cost > (config.maxCost ?? cost)) return Number.POSITIVE_INFINITY
    const nowMs = clock.nowMs()
    const bucket = this.#buckets.get(name) ?? this.#resume(name, nowMs) ?? new TokenBucket(config.initialLevel, nowMs)
    this.#buckets.set(name, bucket)
    return bucket.waitMs(cost, config, nowMs)
  }

  /**
   * Removes the buckets that another box coordinates by now. A bucket retained meanwhile would have refilled when
   * this box coordinates it again, so that each transient partition would allow an additional full burst. With
   * `keepUnusedMs`, its level is kept without refilling, so that it is not created anew either.
   */
  retain (isCoordinator: (name: string) => boolean): void {
    const { clock, keepUnusedMs = 0 } = this.#opts
    const nowMs = clock.nowMs();
    [...this.#unused].filter(([, { untilMs }]) => nowMs >= untilMs).forEach(([name]) => this.#unused.delete(name));
    [...this.#buckets].filter(([name]) => !isCoordinator(name)).forEach(([name, bucket]) => {
      this.forget(name)
      if (keepUnusedMs > 0) this.#unused.set(name, { bucket, untilMs: nowMs + keepUnusedMs })
    })
  }

  /** Keeps the level of a bucket that is not in use: the time until now refills nothing. */
  skipRefill (name: string): void {
    this.#buckets.get(name)?.resume(this.#opts.clock.nowMs())
  }

  forget (name: string): void {
    this.#buckets.delete(name)
  }

  /** Releases an acquired cost that was not used. */
  release (name: string, cost: number): void {
    this.#buckets.get(name)?.charge(-cost)
  }

  #resume (name: string, nowMs: number): TokenBucket | undefined {
    const unused = this.#unused.get(name)
    this.#unused.delete(name)
    if (!unused || nowMs >= unused.untilMs) return undefined
    unused.bucket.resume(nowMs)
    return unused.bucket
  }
}
