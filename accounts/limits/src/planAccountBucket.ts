import { type AccountLimit } from '@reelspan/config.resources'
import { type BucketConfig } from '@reelspan/membership.limits'

/** By how much the boxes together may exceed a limit in any window of `windowMs`. */
export interface LimitTolerance {
  windowMs: number
  /** Share of what the limit allows in a window. */
  overage: number
  /** Additional allowance, in units of the limit. */
  slack: number
}

const MS_PER_SECOND = 1000
/** Initial level of a new bucket as a share of its burst. A box that becomes coordinator does not know the previous usage; half a burst is wrong by at most half a burst in either direction. */
const INITIAL_FILL_SHARE = 0.5
/**
 * Half of the tolerance goes to the account, as a higher rate and a larger burst, so that an account with uneven load or
 * a limit that was just lowered is refused no more than necessary. The other half covers buckets that are created anew
 * and boxes that keep one bucket each while they are partitioned.
 */
const ACCOUNT_TOLERANCE_SHARE = 0.5

/**
 * Parameters of the token bucket of an account's limit at one box.
 *
 * @param share the share of the limit that this box grants
 */
export function planAccountBucket ({ perSecond, burst }: AccountLimit, { windowMs, overage, slack }: LimitTolerance, share: number): BucketConfig {
  const windowS = windowMs / MS_PER_SECOND
  const allowance = ACCOUNT_TOLERANCE_SHARE * (overage * (perSecond * windowS + burst) + slack)
  return {
    perSecond: share * (perSecond + allowance / 2 / windowS),
    burst: share * (burst + allowance / 2),
    initialLevel: INITIAL_FILL_SHARE * share * burst,
  }
}
