import { type ListedUpstream } from '@reelspan/config.fleet'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendPermit } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'

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
  /** Upstreams that have no permit left, and how long until they have. */
  waitsMs: ReadonlyMap<string, number>
}

/**
 * Picks an upstream of a pool that the request may be sent to. Those that have no permit left are passed over, which is no attempt.
 *
 * @param tried upstreams that the request was sent to before
 */
export async function pickPermitted (context: RelayContext, pool: string, tried: ReadonlySet<string>): Promise<PickResult> {
  const { opts, picker, decided } = context
  const waitsMs = new Map<string, number>()
  for (;;) {
    const upstream = picker.pick(opts.fleet().takingWork(pool), new Set([...tried, ...waitsMs.keys()]))
    if (!upstream) return { waitsMs }
    const permit = await takePermit(context, upstream.name)
    if (permit.granted) {
      if (waitsMs.size > 0) decided(LogEvent.UpstreamsAtLimit, { upstreams: [...waitsMs.keys()], instead: upstream.name })
      return { picked: { upstream, permit }, waitsMs }
    }
    waitsMs.set(upstream.name, permit.waitMs)
  }
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
export function refuseUnpicked ({ opts, decided }: RelayContext, pool: string, waitsMs: ReadonlyMap<string, number>): ReelspanError {
  if (waitsMs.size === 0) return new ReelspanError(ErrorCode.NoUpstream, `pool ${pool} has no upstream that takes work`, { retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS })
  const upstreams = [...waitsMs.keys()]
  const perSecond = upstreams.reduce((sum, upstream) => sum + (opts.upstreamStates.perSecond(upstream) ?? 0), 0)
  const retryAfterMs = Math.ceil(opts.returnTimes.book(pool, perSecond, Math.min(...waitsMs.values())))
  decided(LogEvent.UpstreamsAtLimit, { upstreams, retryAfterMs })
  return new ReelspanError(ErrorCode.UpstreamLimit, `upstreams of ${pool} take ${Number(perSecond.toFixed(2))} requests a second and have got them: ${upstreams.join(', ')}`, { retryAfterMs })
}
