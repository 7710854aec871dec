import { type Clock } from '@reelspan/core.env'
import { LimitBook } from '@reelspan/membership.limits'
import { permitBucket } from '@reelspan/upstream.limits'

export interface EngineLimitsOptions {
  clock: Clock
  /** Requests a second that an engine takes; nothing where it names no limit. */
  perSecond?: (engine: string) => number | undefined
}

/**
 * What a scheduler may still place on engines that name a limit. Whoever sends a request needs a permit as well;
 * this keeps the scheduler from choosing engines that have none left, and from leaving out those that have.
 */
export class EngineLimits {
  readonly #opts: EngineLimitsOptions
  readonly #tokenBuckets: LimitBook

  constructor (opts: EngineLimitsOptions) {
    this.#opts = opts
    const planOf = (engine: string) => {
      const perSecond = opts.perSecond?.(engine)
      return perSecond === undefined ? undefined : permitBucket(perSecond, 1, 0)
    }
    this.#tokenBuckets = new LimitBook({ clock: opts.clock, planOf })
  }

  /** How long until an engine takes another request; 0 where it does now. */
  waitMs (engine: string): number {
    return this.#opts.perSecond?.(engine) === undefined ? 0 : this.#tokenBuckets.waitMs(engine, 1)
  }

  /** A request was placed on these engines. */
  recordPlacement (engines: readonly string[]): void {
    new Set(engines).forEach((engine) => this.#tokenBuckets.take(engine, 1))
  }

  retain (listed: ReadonlySet<string>): void {
    this.#tokenBuckets.retain((engine) => listed.has(engine))
  }
}
