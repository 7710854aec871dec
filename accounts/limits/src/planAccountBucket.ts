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
/** Initial level of a new bucket as a share of its burst, where there is no tolerance. A box that becomes coordinator does not know the previous usage; half a burst is wrong by at most half a burst in either direction. */
const INITIAL_FILL_SHARE = 0.5
/**
 * Half of the tolerance goes to the account, as a higher rate and a larger burst, so that an account with uneven load or
 * a limit that was just lowered is refused no more than necessary. The other half, the reserve, covers what boxes grant
 * that do not know of each other's grants.
 */
const ACCOUNT_TOLERANCE_SHARE = 0.5
/**
 * Parts of the reserve. A small account has a burst below the cost of one stream, and its tolerance is mostly
 * `slack`, so that these allow one or more streams where half of its burst allows none. Together they are the whole
 * reserve: one coordinator that starts anew, two stand-ins with what they refill in a window, and all boxes' own shares.
 */
const NEW_COORDINATOR_PART = 0.3
const STAND_IN_PART = 0.25
const STAND_IN_REFILL_PER_WINDOW = 0.25
const OWN_SHARES_PART = 0.075
/** A box that grants less of a limit than this has no debts, so that the debts of at most four boxes add up. */
const MIN_SHARE_FOR_DEBT = 0.25

/**
 * Parameters of the token bucket of an account's limit at its coordinator. A share of 0 grants nothing.
 *
 * @param share the share of the limit that this box grants
 */
export function planAccountBucket (limit: AccountLimit, tolerance: LimitTolerance, share: number): BucketConfig {
  const bucket = planShare(limit, tolerance, share, NEW_COORDINATOR_PART)
  return share < MIN_SHARE_FOR_DEBT ? { ...bucket, maxCost: bucket.burst } : bucket
}

/** Parameters of the token bucket of an account's limit for the requests that one box decides alone. */
export function planOwnShareBucket (limit: AccountLimit, tolerance: LimitTolerance, share: number): BucketConfig {
  const bucket = planShare(limit, tolerance, share, OWN_SHARES_PART)
  // With a debt for each box, 88 boxes grant 88 streams of a small account, several times its limit.
  return { ...bucket, maxCost: bucket.burst }
}

/** Parameters of the allowance that a stand-in grants from; empty without a tolerance. */
export function planStandInBucket (limit: AccountLimit, tolerance: LimitTolerance): BucketConfig {
  const burst = STAND_IN_PART * reserveOf(limit, tolerance)
  const perSecond = STAND_IN_REFILL_PER_WINDOW * burst / (tolerance.windowMs / MS_PER_SECOND)
  return { perSecond, burst, initialLevel: burst, maxCost: burst }
}

function planShare (limit: AccountLimit, tolerance: LimitTolerance, share: number, reservePart: number): BucketConfig {
  const { perSecond, burst } = limit
  const reserve = reserveOf(limit, tolerance)
  const allowance = ACCOUNT_TOLERANCE_SHARE * toleratedExcess(limit, tolerance)
  const plannedBurst = share * (burst + allowance / 2)
  return {
    perSecond: share * (perSecond + allowance / 2 / (tolerance.windowMs / MS_PER_SECOND)),
    burst: plannedBurst,
    initialLevel: reserve > 0 ? Math.min(plannedBurst, share * reservePart * reserve) : INITIAL_FILL_SHARE * share * burst,
  }
}

/** What the boxes together may grant in a window beyond the limit and the part of the tolerance that the account has. */
function reserveOf (limit: AccountLimit, tolerance: LimitTolerance): number {
  return (1 - ACCOUNT_TOLERANCE_SHARE) * toleratedExcess(limit, tolerance)
}

function toleratedExcess ({ perSecond, burst }: AccountLimit, { windowMs, overage, slack }: LimitTolerance): number {
  return overage * (perSecond * windowMs / MS_PER_SECOND + burst) + slack
}
