import { type BucketConfig } from '@reelspan/membership.limits'

/** Minimum rate for an upstream that advertises a limit of zero. Without any request, a raised limit would go unnoticed. */
const MIN_PER_SECOND = 0.1
/** Burst in seconds of the limit: absorbs uneven arrivals, and is half of what an upstream may receive above its limit in 4 s. */
const BURST_S = 1

/**
 * Parameters of the token bucket of permits for an upstream that advertises a limit.
 *
 * @param share the share of the limit that this box grants
 * @param initialLevel the level of the bucket when this box creates it
 */
export function planPermitBucket (perSecond: number, share: number, initialLevel: number): BucketConfig {
  const rate = share * Math.max(perSecond, MIN_PER_SECOND)
  return { perSecond: rate, burst: Math.max(1, BURST_S * rate), initialLevel }
}
