import { type Clock } from '@reelspan/core.env'
import { type BucketSize, LimitBucket } from './limitBucket.js'

/** A bucket as it should be now. */
export interface BucketPlan extends BucketSize {
  /** What is in it when a box begins to keep it, and does not know what was used before. */
  firstLevel: number
}

export interface LimitBookOptions {
  clock: Clock
  /** The bucket that this box keeps for a name, if there is a limit now. */
  planOf: (name: string) => BucketPlan | undefined
}

/** The buckets that are kept at one box. */
export class LimitBook {
  readonly #opts: LimitBookOptions
  readonly #buckets = new Map<string, LimitBucket>()

  constructor (opts: LimitBookOptions) {
    this.#opts = opts
  }

  /** Takes a cost. Answers 0 when it is taken, else the time until it could be. */
  take (name: string, cost: number): number {
    const waitMs = this.waitMs(name, cost)
    if (waitMs === 0) this.#buckets.get(name)?.charge(cost)
    return waitMs
  }

  /** The time until a cost could be taken; 0 when it could be now. */
  waitMs (name: string, cost: number): number {
    const { clock, planOf } = this.#opts
    const plan = planOf(name)
    if (!plan) {
      this.#buckets.delete(name)
      return 0
    }
    const nowMs = clock.nowMs()
    const bucket = this.#buckets.get(name) ?? new LimitBucket(plan.firstLevel, nowMs)
    this.#buckets.set(name, bucket)
    return bucket.waitMs(cost, plan, nowMs)
  }

  /**
   * Forgets the buckets that have their home elsewhere by now. A bucket that was left while another box kept one would
   * be full when it comes back here: each cut that comes and goes would give its holder a whole burst more.
   */
  retain (isHome: (name: string) => boolean): void {
    [...this.#buckets.keys()].filter((name) => !isHome(name)).forEach((name) => this.forget(name))
  }

  forget (name: string): void {
    this.#buckets.delete(name)
  }

  /** What was taken has not been used. */
  giveBack (name: string, cost: number): void {
    this.#buckets.get(name)?.charge(-cost)
  }
}
