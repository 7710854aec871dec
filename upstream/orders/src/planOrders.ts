import { type Configuration, type Named, type PoolSpec, type RolloutSpec, RolloutState } from '@reelspan/config.resources'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type EngineOrder, type EngineReport, EngineRole, OrderKind } from '@reelspan/upstream.client'
import { fenceOf } from './fenceOf.js'

/** An engine and its last report, undefined if it does not answer. */
export interface ReportedEngine {
  name: string
  address: string
  leaving: boolean
  report?: EngineReport
}

/** The engines of one pool in one shard. */
export interface OrderScope {
  model: string
  role: EngineRole
  pool: PoolSpec
  engines: readonly ReportedEngine[]
}

export interface PlannedOrder {
  engine: string
  address: string
  order: EngineOrder
}

/** The orders to send now, and the engines to empty for later orders. */
export interface OrderPlan {
  /** Engines that get no new work, so that they are empty before they receive an order. */
  retiring: string[]
  /** Orders that can be sent immediately. */
  orders: PlannedOrder[]
}

/**
 * Derives orders from the declared revision and the engines' reports only. No
 * progress is stored, so a scheduler that takes over after a failure computes the
 * same plan.
 */
export function planOrders (configuration: Configuration, scope: OrderScope): OrderPlan {
  const rollout = configuration.rollouts().find(({ spec }) => spec.model === scope.model)
  const baseVersion = configuration.model(scope.model)?.version
  if (baseVersion === undefined || rollout?.spec.state === RolloutState.Paused) return { retiring: [], orders: [] }
  const desired = desiredVersions(scope, baseVersion, rollout)
  const reachable = scope.engines.filter(({ report, leaving }) => report && !leaving)
  const mismatched = reachable.filter((engine) => !matchesDeclared(engine, scope, desired.get(engine.name) as string))
  const chosen = inChangeOrder(mismatched.filter(({ report }) => !report?.changing)).slice(0, maxNewChanges(scope, reachable, rollout))
  return {
    retiring: chosen.map(({ name }) => name),
    orders: chosen
      .filter(({ report }) => report?.holds.length === 0)
      .map((engine) => ({
        engine: engine.name,
        address: engine.address,
        order: nextOrder(engine, scope, desired.get(engine.name) as string, configuration.revision),
      })),
  }
}

function desiredVersions ({ engines, role }: OrderScope, baseVersion: string, rollout?: Named<RolloutSpec>): Map<string, string> {
  const share = rollout && rollout.spec.state === RolloutState.Running ? rollout.spec.enginePercent / 100 : 0
  const ranked = rankByRendezvous(`${rollout?.name}|${role}`, engines, ({ name }) => name)
  const upgraded = Math.ceil(share * engines.length)
  return new Map(ranked.map(({ name }, i) => [name, i < upgraded && rollout ? rollout.spec.toVersion : baseVersion]))
}

function matchesDeclared ({ report }: ReportedEngine, { model, role }: OrderScope, version: string): boolean {
  return report?.role === role && report.loaded.some((loaded) => loaded.model === model && loaded.version === version)
}

/** How many more engines may change now while the declared number stays in service. An engine that does not answer counts as out of service. */
function maxNewChanges ({ engines, pool, model, role }: OrderScope, reachable: readonly ReportedEngine[], rollout?: Named<RolloutSpec>): number {
  const changing = reachable.filter(({ report }) => report?.changing).length
  const serving = reachable.filter(({ report }) => !report?.changing && report?.role === role && report.loaded.some((loaded) => loaded.model === model)).length
  const idle = reachable.length - changing - serving
  const present = engines.filter(({ leaving }) => !leaving).length
  const unavailable = changing + (present - reachable.length)
  const availabilityBudget = (rollout?.spec.maxUnavailable ?? 1) - unavailable
  // An engine that serves nothing can be ordered without losing capacity.
  const spare = idle + Math.max(0, serving - pool.minReadyEngines)
  return Math.max(0, Math.min(availabilityBudget, spare))
}

/** Sorts engines that serve nothing first, then by name, so that every controller chooses the same engines. */
function inChangeOrder (engines: readonly ReportedEngine[]): ReportedEngine[] {
  const serves = ({ report }: ReportedEngine) => report && report.loaded.length > 0 ? 1 : 0
  return [...engines].sort((a, b) => serves(a) - serves(b) || (a.name < b.name ? -1 : 1))
}

function nextOrder ({ report }: ReportedEngine, { model, role }: OrderScope, version: string, revision: number): EngineOrder {
  const fence = fenceOf(revision, report?.fence ?? 0)
  return report?.role === role
    ? { kind: OrderKind.LoadModel, model, version, fence }
    : { kind: OrderKind.ChangeRole, role, fence }
}
