import { type BucketPlan } from '@reelspan/membership.limits'

/** An upstream that takes nothing gets a request so often: without any, nobody would hear that it takes some again. */
const LEAST_PER_SECOND = 0.1
/** What the bucket holds: enough for requests that come unevenly, and half of what an upstream may get beyond its limit in 4 s. */
const BURST_S = 1

/**
 * The bucket of permits for an upstream that names a limit.
 *
 * @param share the part of the limit that is kept at this box
 * @param firstLevel what is in it when the box begins to keep it
 */
export function permitBucket (perSecond: number, share: number, firstLevel: number): BucketPlan {
  const rate = share * Math.max(perSecond, LEAST_PER_SECOND)
  return { perSecond: rate, burst: Math.max(1, BURST_S * rate), firstLevel }
}
