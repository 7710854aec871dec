import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { isOwnPrefill, type PlacementPlan, type PlacementRefusal } from '@reelspan/core.messages'
import { type Placement } from '@reelspan/scheduling.placer'
import { type SendPermit } from '@reelspan/upstream.limits'
import { acquirePermit } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'
import { BlockedUpstreams } from './blockedUpstreams.js'

/** Permits for the engines of a placement: the same one where one engine does all. */
export interface EnginePermits {
  prefill: SendPermit
  decode: SendPermit
}

export interface PermittedPlacement {
  placement: Placement
  permits: EnginePermits
}

/**
 * Takes a permit for each engine of a placement, before any of them works. Gives the placement
 * back and answers nothing when one has none, which is added to `waits`.
 */
export async function acquireEnginePermits (context: RelayContext, placement: Placement, blocked: BlockedUpstreams): Promise<EnginePermits | undefined> {
  const engines = enginesOf(placement.plan)
  const acquired: SendPermit[] = []
  try {
    for (const engine of engines) acquired.push(await acquirePermit(context, engine))
  } catch (thrown) {
    releaseAll(placement, acquired)
    throw thrown
  }
  const refused = new BlockedUpstreams()
  engines.forEach((engine, i) => {
    const { wait } = acquired[i]
    if (wait) [refused, blocked].forEach((some) => some.add(engine, wait))
  })
  if (refused.size === 0) return { prefill: acquired[0], decode: acquired[acquired.length - 1] }
  releaseAll(placement, acquired)
  refused.log(context, {})
  return undefined
}

/**
 * Refuses a request that found no place.
 *
 * @param blocked engines that were left out since they had no permit
 */
export function noPlacementError ({ opts }: RelayContext, model: string, { reason, retryAfterMs }: PlacementRefusal, blocked: BlockedUpstreams): ReelspanError {
  if (blocked.size === 0) return new ReelspanError(ErrorCode.Overloaded, reason, { retryAfterMs })
  const retryMs = Math.ceil(opts.returnTimes.bookAfter(model, blocked.shortestWaitMs))
  const why = blocked.allBackingOff ? 'asked this box to wait' : 'have got as many requests as they take for now'
  return new ReelspanError(blocked.errorCode, `${blocked.describe()} ${why}; ${reason}`, { retryAfterMs: Math.max(retryAfterMs, retryMs) })
}

/** The engines that a plan makes work: one where it computes the prompt itself. */
function enginesOf (plan: PlacementPlan): string[] {
  return isOwnPrefill(plan) ? [plan.decodeEngine] : [plan.prefillEngine, plan.decodeEngine]
}

function releaseAll (placement: Placement, permits: readonly SendPermit[]): void {
  placement.release()
  permits.forEach((permit) => permit.release())
}
