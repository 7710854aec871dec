import { type AccountLimit } from '@reelspan/config.resources'
import { type Clock } from '@reelspan/core.env'
import { type BucketSize, LimitBucket } from './limitBucket.js'

export interface LimitBookOptions {
  clock: Clock
  /** The limit that is declared for an account now, if any. */
  limitOf: (account: string) => AccountLimit | undefined
  /** The part of each limit that is kept here. */
  share: () => number
  tolerance: LimitTolerance
}

/** By how much the boxes together may go beyond a limit. */
export interface LimitTolerance {
  windowMs: number
  /** Part of what the limit allows in any span of `windowMs`. */
  overage: number
}

const MS_PER_SECOND = 1000
/** A box that has just begun to keep a bucket does not know what was used before. Half of the burst is an error of half a burst at most, either way. */
const FIRST_SHARE = 0.5
/**
 * Half of the tolerance is the accounts': one that keeps to its rate on average is not refused for the unevenness of
 * moments (at 2.0 times the usual load under a limit of 1.8 times, 18 requests were refused without it, for 14 to
 * 215 ms each, and 3 with it, on one played day of 900). The other half is for boxes that begin to keep a bucket anew,
 * or keep one each while they do not see each other.
 */
const ACCOUNTS_PART = 0.5

/** The buckets that are kept at one box. */
export class LimitBook {
  readonly #opts: LimitBookOptions
  readonly #buckets = new Map<string, LimitBucket>()

  constructor (opts: LimitBookOptions) {
    this.#opts = opts
  }

  /** Takes a cost from an account. Answers 0 when it is taken, else the time until it could be. */
  take (account: string, cost: number): number {
    const { clock, limitOf } = this.#opts
    const limit = limitOf(account)
    if (!limit) {
      this.#buckets.delete(account)
      return 0
    }
    const size = this.#sizeOf(limit)
    const nowMs = clock.nowMs()
    const bucket = this.#buckets.get(account) ?? new LimitBucket(FIRST_SHARE * this.#opts.share() * limit.burst, nowMs)
    this.#buckets.set(account, bucket)
    return bucket.take(cost, size, nowMs)
  }

  #sizeOf ({ perSecond, burst }: AccountLimit): BucketSize {
    const { share, tolerance: { windowMs, overage } } = this.#opts
    const part = share()
    const beyond = ACCOUNTS_PART * overage * (perSecond * windowMs / MS_PER_SECOND + burst)
    return { perSecond: part * perSecond, capacity: part * (burst + beyond) }
  }

  /** What was taken has not been used. */
  giveBack (account: string, cost: number): void {
    this.#buckets.get(account)?.charge(-cost)
  }
}
