import { type Clock } from '@reelspan/core.env'
import { TokenBucketStore } from '@reelspan/membership.limits'
import { planPermitBucket } from '@reelspan/upstream.limits'

export interface EngineLimitsOptions {
  clock: Clock
  /** Requests per second that an engine accepts; undefined if it advertises no limit. */
  perSecond?: (engine: string) => number | undefined
}

/**
 * Token buckets that estimate how many requests engines with a rate limit still accept. The sender of a request
 * needs a permit as well; these buckets keep the scheduler from choosing engines without permits or skipping those with some.
 */
export class EngineLimits {
  readonly #opts: EngineLimitsOptions
  readonly #tokenBuckets: TokenBucketStore

  constructor (opts: EngineLimitsOptions) {
    this.#opts = opts
    const configOf = (engine: string) => {
      const perSecond = opts.perSecond?.(engine)
      return perSecond === undefined ? undefined : planPermitBucket(perSecond, 1, 0)
    }
    this.#tokenBuckets = new TokenBucketStore({ clock: opts.clock, configOf })
  }

  /** Time until an engine accepts another request; 0 if it does now. */
  waitMs (engine: string): number {
    return this.#opts.perSecond?.(engine) === undefined ? 0 : this.#tokenBuckets.waitMs(engine, 1)
  }

  /** Takes a permit of each engine that a request was placed on. */
  recordPlacement (engines: readonly string[]): void {
    new Set(engines).forEach((engine) => this.#tokenBuckets.acquire(engine, 1))
  }

  retain (listed: ReadonlySet<string>): void {
    this.#tokenBuckets.retain((engine) => listed.has(engine))
  }
}
