import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { isOwnPrefill, type PlacementPlan, type PlacementRefusal } from '@reelspan/core.messages'
import { type Placement } from '@reelspan/scheduling.placer'
import { type SendPermit } from '@reelspan/upstream.limits'
import { takePermit } from './pickPermitted.js'
import { type RelayContext } from './relayContext.js'
import { SendWaits } from './sendWaits.js'

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
export async function takeEnginePermits (context: RelayContext, placement: Placement, waits: SendWaits): Promise<EnginePermits | undefined> {
  const engines = enginesOf(placement.plan)
  const taken: SendPermit[] = []
  try {
    for (const engine of engines) taken.push(await takePermit(context, engine))
  } catch (thrown) {
    giveBack(placement, taken)
    throw thrown
  }
  const missing = new SendWaits()
  engines.forEach((engine, i) => {
    const { wait } = taken[i]
    if (wait) [missing, waits].forEach((some) => some.add(engine, wait))
  })
  if (missing.size === 0) return { prefill: taken[0], decode: taken[taken.length - 1] }
  giveBack(placement, taken)
  missing.log(context, {})
  return undefined
}

/**
 * Refuses a request that found no place.
 *
 * @param waits engines that were left out since they had no permit
 */
export function refuseUnplaced ({ opts }: RelayContext, model: string, { reason, retryAfterMs }: PlacementRefusal, waits: SendWaits): ReelspanError {
  if (waits.size === 0) return new ReelspanError(ErrorCode.Overloaded, reason, { retryAfterMs })
  const returnMs = Math.ceil(opts.returnTimes.bookAfter(model, waits.soonestMs))
  const why = waits.areBackoffs ? 'asked this box to wait' : 'have got as many requests as they take for now'
  return new ReelspanError(waits.errorCode, `${waits.describe()} ${why}; ${reason}`, { retryAfterMs: Math.max(retryAfterMs, returnMs) })
}

/** The engines that a plan makes work: one where it computes the prompt itself. */
function enginesOf (plan: PlacementPlan): string[] {
  return isOwnPrefill(plan) ? [plan.decodeEngine] : [plan.prefillEngine, plan.decodeEngine]
}

function giveBack (placement: Placement, permits: readonly SendPermit[]): void {
  placement.release()
  permits.forEach((permit) => permit.release())
}
