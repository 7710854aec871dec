import { type ListedUpstream } from '@reelspan/config.fleet'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type SendPermit, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'
import { BlockedUpstreams } from './blockedUpstreams.js'

/** Upstreams register again within some seconds, and callers make few retries. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000

/** An upstream of a pool with the permit to send it one request. */
export interface PermittedUpstream {
  upstream: ListedUpstream
  permit: SendPermit
}

export interface PickResult {
  /** Undefined if the request may not be sent to any upstream. */
  picked?: PermittedUpstream
  /** Upstreams that were skipped because they refused a permit. */
  blocked: BlockedUpstreams
}

/**
 * Picks an upstream of a pool that the request may be sent to. Skips upstreams that refuse a permit, which does not count as an attempt.
 *
 * @param tried upstreams to which the request was already sent
 */
export async function pickPermittedUpstream (context: RelayContext, pool: string, tried: ReadonlySet<string>): Promise<PickResult> {
  const { opts, picker } = context
  const blocked = backoffsOf(context, pool, tried)
  for (;;) {
    const upstream = picker.pick(opts.fleet().takingWork(pool), new Set([...tried, ...blocked.names()]))
    if (!upstream) return { blocked }
    const permit = await acquirePermit(context, upstream.name)
    if (permit.wait === undefined) {
      blocked.log(context, { instead: upstream.name })
      return { picked: { upstream, permit }, blocked }
    }
    blocked.add(upstream.name, permit.wait)
  }
}

/** Upstreams of a pool that asked this box to back off. They are excluded before one is picked, since a large pool may have many. */
function backoffsOf ({ opts }: RelayContext, pool: string, tried: ReadonlySet<string>): BlockedUpstreams {
  const { backoffs, fleet } = opts
  const blocked = new BlockedUpstreams()
  if (backoffs.count === 0) return blocked
  fleet().takingWork(pool).filter(({ name }) => !tried.has(name)).forEach(({ name }) => {
    const durationMs = backoffs.remainingMs(name)
    if (durationMs > 0) blocked.add(name, { reason: WaitReason.Backoff, durationMs })
  })
  return blocked
}

/** Acquires a permit. If that took a call to another box, checks again that the run may go on. */
export async function acquirePermit ({ opts, run }: RelayContext, upstream: string): Promise<SendPermit> {
  const permit = await opts.permits.acquire(upstream)
  if (!permit.limited) return permit
  try {
    await run.checkBeforeSend()
    return permit
  } catch (thrown) {
    permit.release()
    throw thrown
  }
}

/** Creates the refusal of a request for which a pool has no upstream, with a retry delay. */
export function noUpstreamError (context: RelayContext, pool: string, blocked: BlockedUpstreams): ReelspanError {
  const { opts } = context
  if (blocked.size === 0) return new ReelspanError(ErrorCode.NoUpstream, `pool ${pool} has no upstream that takes work`, { retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS })
  const limited = blocked.names(WaitReason.RateLimit)
  const perSecond = limited.reduce((sum, upstream) => sum + (opts.upstreamStates.perSecond(upstream) ?? 0), 0)
  const retryMs = blocked.allBackingOff ? opts.retryTimes.scheduleAfterWait(pool, blocked.shortestWaitMs) : opts.retryTimes.scheduleAtRate(pool, perSecond, blocked.shortestWaitMs)
  const retryAfterMs = Math.ceil(retryMs)
  blocked.log(context, { retryAfterMs })
  const reason = blocked.allBackingOff
    ? `upstreams of ${pool} asked this box to back off: ${blocked.describe()}`
    : `upstreams of ${pool} take ${Number(perSecond.toFixed(2))} requests a second and have got them: ${blocked.describe()}`
  return new ReelspanError(blocked.errorCode, reason, { retryAfterMs })
}
