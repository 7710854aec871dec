import { type AccountLimit } from '@reelspan/config.resources'
import { type BucketPlan } from '@reelspan/membership.limits'

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
 * uneven, or whose limit has just been lowered, is refused only what must be. The other half is for boxes that begin
 * to keep a bucket anew, or keep one each while they do not see each other.
 */
const ACCOUNTS_PART = 0.5

/**
 * The bucket of an account's limit at a box.
 *
 * @param share the part of the limit that is kept there
 */
export function accountBucket ({ perSecond, burst }: AccountLimit, { windowMs, overage, slack }: LimitTolerance, share: number): BucketPlan {
  const windowS = windowMs / MS_PER_SECOND
  const beyond = ACCOUNTS_PART * (overage * (perSecond * windowS + burst) + slack)
  return {
    perSecond: share * (perSecond + beyond / 2 / windowS),
    burst: share * (burst + beyond / 2),
    firstLevel: FIRST_SHARE * share * burst,
  }
}
