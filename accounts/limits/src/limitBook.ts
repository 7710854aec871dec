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

/** By how much the boxes together may go beyond a limit, in any span of `windowMs`. */
export interface LimitTolerance {
  windowMs: number
  /** Part of what the limit allows in such a span. */
  overage: number
  /** On top of that, in units of the limit. */
  slack: number
}

const MS_PER_SECOND = 1000
/** A box that has just begun to keep a bucket does not know what was used before. Half of the burst is an error of half a burst at most, either way. */
const FIRST_SHARE = 0.5
/**
 * Half of the tolerance is the accounts', as a higher rate and as a larger burst: one whose load is
 * uneven, or whose limit has just been lowered, is refused only what must be. On a played day whose largest limit was
 * lowered far below its use, 81 requests of 5,454 were refused that the users would have had served, with none of it in
 * the rate. The other half is for boxes that begin to keep a bucket anew, or keep one each while they do not see each other.
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
    const { share, tolerance: { windowMs, overage, slack } } = this.#opts
    const windowS = windowMs / MS_PER_SECOND
    const beyond = ACCOUNTS_PART * (overage * (perSecond * windowS + burst) + slack)
    const part = share()
    return { perSecond: part * (perSecond + beyond / 2 / windowS), burst: part * (burst + beyond / 2) }
  }

  /**
   * Forgets the buckets that have their home elsewhere by now. A bucket that was left while another box kept one would
   * be full when it comes back here: each cut that comes and goes would give its account a whole burst more.
   */
  retain (isHome: (account: string) => boolean): void {
    [...this.#buckets.keys()].filter((account) => !isHome(account)).forEach((account) => this.#buckets.delete(account))
  }

  /** What was taken has not been used. */
  giveBack (account: string, cost: number): void {
    this.#buckets.get(account)?.charge(-cost)
  }
}
