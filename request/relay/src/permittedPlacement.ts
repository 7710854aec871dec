import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { isOwnPrefill, type PlacementPlan, type PlacementRefusal } from '@reelspan/core.messages'
import { type Placement } from '@reelspan/scheduling.placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendPermit } from '@reelspan/upstream.limits'
import { takePermit } from './pickPermitted.js'
import { type RelayContext } from './relayContext.js'

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
 * back and answers nothing when one has none left, which is noted in `waitsMs`.
 */
export async function takeEnginePermits (context: RelayContext, placement: Placement, waitsMs: Map<string, number>): Promise<EnginePermits | undefined> {
  const engines = enginesOf(placement.plan)
  const taken: SendPermit[] = []
  try {
    for (const engine of engines) taken.push(await takePermit(context, engine))
  } catch (thrown) {
    giveBack(placement, taken)
    throw thrown
  }
  const full = engines.filter((_, i) => !taken[i].granted)
  if (full.length === 0) return { prefill: taken[0], decode: taken[taken.length - 1] }
  giveBack(placement, taken)
  full.forEach((engine) => waitsMs.set(engine, taken[engines.indexOf(engine)].waitMs))
  context.decided(LogEvent.UpstreamsAtLimit, { upstreams: full })
  return undefined
}

/**
 * Refuses a request that found no place.
 *
 * @param waitsMs engines that were left out since they had no permit, and how long until they have
 */
export function refuseUnplaced ({ reason, retryAfterMs }: PlacementRefusal, waitsMs: ReadonlyMap<string, number>): ReelspanError {
  if (waitsMs.size === 0) return new ReelspanError(ErrorCode.Overloaded, reason, { retryAfterMs })
  const soonestMs = Math.ceil(Math.min(...waitsMs.values()))
  const engines = [...waitsMs.keys()].join(', ')
  return new ReelspanError(ErrorCode.UpstreamLimit, `${engines} have got as many requests as they take for now; ${reason}`, { retryAfterMs: Math.max(retryAfterMs, soonestMs) })
}

/** The engines that a plan makes work: one where it computes the prompt itself. */
function enginesOf (plan: PlacementPlan): string[] {
  return isOwnPrefill(plan) ? [plan.decodeEngine] : [plan.prefillEngine, plan.decodeEngine]
}

function giveBack (placement: Placement, permits: readonly SendPermit[]): void {
  placement.release()
  permits.filter(({ granted }) => granted).forEach((permit) => permit.release())
}
