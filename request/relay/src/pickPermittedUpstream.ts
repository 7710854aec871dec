import { type ListedUpstream } from '@reelspan/config.fleet'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { PoolCallOutcome } from '@reelspan/core.messages'
import { type PoolRequest, type PoolSlot, type SlotAnswer, SlotDecision } from '@reelspan/scheduling.pool-admission'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendPermit, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'
import { BlockedUpstreams } from './blockedUpstreams.js'
import { unconnectedUpstreams } from './unconnectedUpstreams.js'

/** Upstreams register again within some seconds, and callers make few retries. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000

/** An upstream of a pool with the permit to send it one request, and the slot that the request takes there. */
export interface PermittedUpstream {
  upstream: ListedUpstream
  permit: SendPermit
  slot: PoolSlot
}

export interface PickResult {
  /** Undefined if the request may not be sent to any upstream. */
  picked?: PermittedUpstream
  /** The pool is short of capacity and cannot serve the request in time. */
  refusal?: ReelspanError
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
    const excluded = new Set([...tried, ...blocked.names(), ...unconnectedUpstreams(context, pool)])
    const answer: SlotAnswer = opts.pools.isShort(pool) ? await acquireSlot(context, pool, excluded) : { decision: SlotDecision.OwnChoice }
    if (answer.decision === SlotDecision.Refused) return { refusal: createRefusal(context, pool, answer), blocked }
    const granted = answer.decision === SlotDecision.Granted ? answer.slot : undefined
    const upstream = listedUpstream(context, pool, granted) ?? picker.pick(opts.fleet().takingWork(pool), excluded)
    if (!upstream) return { blocked }
    const slot = granted?.upstream === upstream.name ? granted : opts.pools.track(poolRequest(context, pool), upstream.name)
    const permit = await acquirePermitFor(context, slot)
    if (permit.wait === undefined) {
      blocked.log(context, { instead: upstream.name })
      return { picked: { upstream, permit, slot }, blocked }
    }
    slot.release(PoolCallOutcome.NotSent)
    blocked.add(upstream.name, permit.wait)
  }
}

/** Acquires a slot. That takes a call to another box, so it checks again that the run may go on. */
async function acquireSlot (context: RelayContext, pool: string, excluded: ReadonlySet<string>): Promise<SlotAnswer> {
  const { opts, run } = context
  const answer = await opts.pools.acquire(poolRequest(context, pool), [...excluded, ...suspectsOf(context, pool, excluded)], run.signal)
  opts.metrics.count('reelspan_pool_slots_total', { pool, decision: answer.decision })
  try {
    await run.checkBeforeSend()
    return answer
  } catch (thrown) {
    if (answer.decision === SlotDecision.Granted) answer.slot.release(PoolCallOutcome.NotSent)
    throw thrown
  }
}

/** The upstream of a granted slot. One that this box does not list is given back. */
function listedUpstream ({ opts }: RelayContext, pool: string, slot: PoolSlot | undefined): ListedUpstream | undefined {
  const upstream = slot && opts.fleet().takingWork(pool).find(({ name }) => name === slot.upstream)
  if (!upstream) slot?.release(PoolCallOutcome.NotSent)
  return upstream
}

async function acquirePermitFor (context: RelayContext, slot: PoolSlot): Promise<SendPermit> {
  try {
    return await acquirePermit(context, slot.upstream)
  } catch (thrown) {
    slot.release(PoolCallOutcome.NotSent)
    throw thrown
  }
}

/** Upstreams that this box suspects or that fail, if there are others. */
function suspectsOf ({ opts, health }: RelayContext, pool: string, excluded: ReadonlySet<string>): string[] {
  const names = opts.fleet().takingWork(pool).map(({ name }) => name).filter((name) => !excluded.has(name))
  const suspects = names.filter((name) => health.isSuspect(name) || opts.upstreamReports.isFailing(name))
  return suspects.length < names.length ? suspects : []
}

function poolRequest ({ request, route, run, urgency, identity }: RelayContext, pool: string): PoolRequest {
  return {
    pool,
    account: request.account ?? '',
    urgency,
    inTimeMs: route.spec.ttftTargetMs - run.elapsedMs,
    usefulMs: run.remainingMs,
    returnId: () => `${identity().content}.${identity().caller}`,
  }
}

function createRefusal ({ logDecision }: RelayContext, pool: string, { retryAfterMs, overShare, decidedBy }: Extract<SlotAnswer, { decision: SlotDecision.Refused }>): ReelspanError {
  logDecision(LogEvent.PoolCallRefused, { pool, retryAfterMs, overShare, decidedBy })
  return new ReelspanError(ErrorCode.Overloaded, `pool ${pool} cannot serve the request in time`, { retryAfterMs })
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
