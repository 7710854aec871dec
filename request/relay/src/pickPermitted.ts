import { type ListedUpstream } from '@reelspan/config.fleet'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type SendPermit, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'
import { SendWaits } from './sendWaits.js'

/** Upstreams enter themselves again within some seconds; callers have few tries. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000

/** An upstream of a pool, and the permit to send it one request. */
export interface PermittedUpstream {
  upstream: ListedUpstream
  permit: SendPermit
}

export interface PickResult {
  /** Nothing when no upstream is left that the request may be sent to. */
  picked?: PermittedUpstream
  /** Upstreams that were passed over since they have no permit. */
  waits: SendWaits
}

/**
 * Picks an upstream of a pool that the request may be sent to. Those without a permit are passed over, which is no attempt.
 *
 * @param tried upstreams that the request was sent to before
 */
export async function pickPermitted (context: RelayContext, pool: string, tried: ReadonlySet<string>): Promise<PickResult> {
  const { opts, picker } = context
  const waits = backoffsOf(context, pool, tried)
  for (;;) {
    const upstream = picker.pick(opts.fleet().takingWork(pool), new Set([...tried, ...waits.upstreams()]))
    if (!upstream) return { waits }
    const permit = await takePermit(context, upstream.name)
    if (permit.wait === undefined) {
      waits.log(context, { instead: upstream.name })
      return { picked: { upstream, permit }, waits }
    }
    waits.add(upstream.name, permit.wait)
  }
}

/** Upstreams of a pool that asked this box to wait. They are left out before one is picked: a large pool may have many. */
function backoffsOf ({ opts }: RelayContext, pool: string, tried: ReadonlySet<string>): SendWaits {
  const { backoffs, fleet } = opts
  const waits = new SendWaits()
  if (backoffs.count === 0) return waits
  fleet().takingWork(pool).filter(({ name }) => !tried.has(name)).forEach(({ name }) => {
    const durationMs = backoffs.remainingMs(name)
    if (durationMs > 0) waits.add(name, { reason: WaitReason.Backoff, durationMs })
  })
  return waits
}

/** Takes a permit. Where another box was asked for it, the run is looked at again. */
export async function takePermit ({ opts, run }: RelayContext, upstream: string): Promise<SendPermit> {
  const permit = await opts.permits.take(upstream)
  if (!permit.limited) return permit
  try {
    await run.checkBeforeSend()
    return permit
  } catch (thrown) {
    permit.release()
    throw thrown
  }
}

/** Refuses a request for which a pool has no upstream, with the time to return. */
export function refuseUnpicked (context: RelayContext, pool: string, waits: SendWaits): ReelspanError {
  const { opts } = context
  if (waits.size === 0) return new ReelspanError(ErrorCode.NoUpstream, `pool ${pool} has no upstream that takes work`, { retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS })
  const limited = waits.upstreams(WaitReason.RateLimit)
  const perSecond = limited.reduce((sum, upstream) => sum + (opts.upstreamStates.perSecond(upstream) ?? 0), 0)
  const returnMs = waits.areBackoffs ? opts.returnTimes.bookAfter(pool, waits.soonestMs) : opts.returnTimes.book(pool, perSecond, waits.soonestMs)
  const retryAfterMs = Math.ceil(returnMs)
  waits.log(context, { retryAfterMs })
  const reason = waits.areBackoffs
    ? `upstreams of ${pool} asked this box to wait: ${waits.describe()}`
    : `upstreams of ${pool} take ${Number(perSecond.toFixed(2))} requests a second and have got them: ${waits.describe()}`
  return new ReelspanError(waits.errorCode, reason, { retryAfterMs })
}
