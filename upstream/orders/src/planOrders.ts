import { type Configuration, type Named, type PoolSpec, type RolloutSpec, RolloutState } from '@reelspan/config.resources'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type EngineOrder, type EngineReport, EngineRole, OrderKind } from '@reelspan/upstream.client'
import { fenceOf } from './fenceOf.js'

/** An engine and its last report, if it answers. */
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

/** What is to be done now. */
export interface OrderPlan {
  /** Engines that get no new work, so that they empty before their order. */
  retiring: string[]
  /** Orders that can be sent at once. */
  orders: PlannedOrder[]
}

/**
 * Derives orders from the declared revision and the engines' own reports, and
 * from nothing else: no steps are remembered, so whoever carries on after a
 * failure plans the same.
 */
export function planOrders (configuration: Configuration, scope: OrderScope): OrderPlan {
  const rollout = configuration.rollouts().find(({ spec }) => spec.model === scope.model)
  const baseVersion = configuration.model(scope.model)?.version
  if (baseVersion === undefined || rollout?.spec.state === RolloutState.Paused) return { retiring: [], orders: [] }
  const wanted = wantedVersions(scope, baseVersion, rollout)
  const reachable = scope.engines.filter(({ report, leaving }) => report && !leaving)
  const wrong = reachable.filter((engine) => !isAsWanted(engine, scope, wanted.get(engine.name) as string))
  const chosen = byName(wrong.filter(({ report }) => !report?.changing)).slice(0, allowedAtOnce(scope, reachable, rollout))
  return {
    retiring: chosen.map(({ name }) => name),
    orders: chosen
      .filter(({ report }) => report?.holds.length === 0)
      .map((engine) => ({
        engine: engine.name,
        address: engine.address,
        order: nextOrder(engine, scope, wanted.get(engine.name) as string, configuration.revision),
      })),
  }
}

function wantedVersions ({ engines, role }: OrderScope, baseVersion: string, rollout?: Named<RolloutSpec>): Map<string, string> {
  const share = rollout && rollout.spec.state === RolloutState.Running ? rollout.spec.enginePercent / 100 : 0
  const ranked = rankByRendezvous(`${rollout?.name}|${role}`, engines, ({ name }) => name)
  const upgraded = Math.ceil(share * engines.length)
  return new Map(ranked.map(({ name }, i) => [name, i < upgraded && rollout ? rollout.spec.toVersion : baseVersion]))
}

function isAsWanted ({ report }: ReportedEngine, { model, role }: OrderScope, version: string): boolean {
  return report?.role === role && report.loaded.some((loaded) => loaded.model === model && loaded.version === version)
}

/** Keeps the declared number of engines in service. An engine that does not answer is out of service already. */
function allowedAtOnce ({ engines, pool, model, role }: OrderScope, reachable: readonly ReportedEngine[], rollout?: Named<RolloutSpec>): number {
  const changing = reachable.filter(({ report }) => report?.changing).length
  const serving = reachable.filter(({ report }) => !report?.changing && report?.role === role && report.loaded.some((loaded) => loaded.model === model)).length
  const idle = reachable.length - changing - serving
  const present = engines.filter(({ leaving }) => !leaving).length
  const unavailable = changing + (present - reachable.length)
  const atOnce = (rollout?.spec.maxUnavailable ?? 1) - unavailable
  // An engine that serves nothing now can be ordered without losing capacity.
  const spare = idle + Math.max(0, serving - pool.minReadyEngines)
  return Math.max(0, Math.min(atOnce, spare))
}

/** Engines that serve nothing go first, then by name: every controller chooses the same. */
function byName (engines: readonly ReportedEngine[]): ReportedEngine[] {
  const serves = ({ report }: ReportedEngine) => report && report.loaded.length > 0 ? 1 : 0
  return [...engines].sort((a, b) => serves(a) - serves(b) || (a.name < b.name ? -1 : 1))
}

function nextOrder ({ report }: ReportedEngine, { model, role }: OrderScope, version: string, revision: number): EngineOrder {
  const fence = fenceOf(revision, report?.fence ?? 0)
  return report?.role === role
    ? { kind: OrderKind.LoadModel, model, version, fence }
    : { kind: OrderKind.ChangeRole, role, fence }
}
