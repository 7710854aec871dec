import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { isOwnPrefill, type PlacementPlan, type PlacementRefusal } from '@reelspan/core.messages'
import { type Placement } from '@reelspan/scheduling.placer'
import { type SendPermit } from '@reelspan/upstream.limits'
import { acquirePermit } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'
import { BlockedUpstreams } from './blockedUpstreams.js'

/** Permits for the engines of a placement. Both are the same if one engine does prefill and decode. */
export interface EnginePermits {
  prefill: SendPermit
  decode: SendPermit
}

export interface PermittedPlacement {
  placement: Placement
  permits: EnginePermits
}

/**
 * Acquires a permit for each engine of a placement before anything is sent. If an engine refuses,
 * adds it to `blocked`, releases the placement and returns undefined.
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
    if (wait) [refused, blocked].forEach((collection) => collection.add(engine, wait))
  })
  if (refused.size === 0) return { prefill: acquired[0], decode: acquired[acquired.length - 1] }
  releaseAll(placement, acquired)
  refused.log(context, {})
  return undefined
}

/**
 * Creates the refusal of a request that could not be placed.
 *
 * @param blocked engines that were left out because they refused a permit
 */
export function noPlacementError ({ opts }: RelayContext, model: string, { reason, retryAfterMs }: PlacementRefusal, blocked: BlockedUpstreams): ReelspanError {
  if (blocked.size === 0) return new ReelspanError(ErrorCode.Overloaded, reason, { retryAfterMs })
  const retryMs = Math.ceil(opts.retryTimes.scheduleAfterWait(model, blocked.shortestWaitMs))
  const cause = blocked.allBackingOff ? 'asked this box to back off' : 'accept no more requests at present'
  return new ReelspanError(blocked.errorCode, `${blocked.describe()} ${cause}; ${reason}`, { retryAfterMs: Math.max(retryAfterMs, retryMs) })
}

/** The engines of a plan: a single one if it computes the prompt itself. */
function enginesOf (plan: PlacementPlan): string[] {
  return isOwnPrefill(plan) ? [plan.decodeEngine] : [plan.prefillEngine, plan.decodeEngine]
}

function releaseAll (placement: Placement, permits: readonly SendPermit[]): void {
  placement.release()
  permits.forEach((permit) => permit.release())
}
