import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { type EngineClient, EngineRole, type EngineOrder, OrderKind } from '@reelspan/upstream.client'
import { uniqueFenceOf } from './fenceOf.js'
import { OrderOutcome, outcomeOf } from './orderOutcome.js'
import { type OrderLease } from './orderLease.js'
import { type PlannedOrder, type ReportedEngine } from './planOrders.js'
import { type RoleCounts, type RoleLoad, type RolePlan, planRoles } from './planRoles.js'

/** An engine whose role may be changed. */
export interface BalancedEngine extends ReportedEngine {
  availabilityZone: string
  /** Number of requests placed on the engine. */
  reservations: number
}

/** The engines of one shard, by their role in the list. */
export type BalancedEngines = Record<EngineRole, readonly BalancedEngine[]>

export interface RoleBalancerOptions {
  clock: Clock
  engines: EngineClient
  lease: OrderLease
  /** The unique name of this box. */
  holder: string
  /** The order of the newest list that this box knows. It increases over all boxes and all eras of the platform's store. */
  listRevision: () => number
  orderTimeoutMs: number
  onPlan?: (plan: RolePlan, load: RoleLoad | undefined) => void
  onOrder?: (order: PlannedOrder, outcome: OrderOutcome) => void
}

/** A role change in progress. */
interface RoleMove {
  from: EngineRole
  sinceMs: number
  ordered: boolean
}

/** Passes for which the engine counts must be unchanged before a role change: crashed or replaced engines come and go within a second or two. */
const STEADY_PASSES = 2
/** An engine that is not empty, or has not changed its role, after this time gets work again. The longest change took 14 s, 7 s of it to finish work. */
const MOVE_TIMEOUT_MS = 25_000

/**
 * Adjusts the roles of the engines of one shard to the load. A chosen engine gets no
 * new work, and receives its order once it is empty.
 */
export class RoleBalancer {
  readonly #opts: RoleBalancerOptions
  readonly #moves = new Map<string, RoleMove>()
  #plan?: RolePlan
  #counts?: RoleCounts
  #steadyPasses = 0
  #lastChangeMs?: number

  constructor (opts: RoleBalancerOptions) {
    this.#opts = opts
  }

  /** The last plan, for the dump. */
  get plan (): RolePlan | undefined {
    return this.#plan
  }

  /** Whether an engine is changing its role and gets no new work. */
  isChangingRole (engine: string): boolean {
    return this.#moves.has(engine)
  }

  async reconcile (engines: BalancedEngines, minimum: RoleCounts, load: RoleLoad | undefined): Promise<void> {
    this.#removeEndedMoves(engines)
    const counts = { prefill: countPresent(engines.prefill), decode: countPresent(engines.decode) }
    this.#recordCounts(counts)
    this.#startMoves(engines, this.#updatePlan(engines, counts, minimum, load))
    const ready = allOf(engines).filter((engine) => this.#isReadyForOrder(engine))
    for (const engine of ready) await this.#send(engine)
  }

  /** Called when the lease is lost: engines that have not received their order keep their role. */
  cancelUnorderedMoves (): void {
    this.#moves.forEach(({ ordered }, engine) => {
      if (!ordered) this.#moves.delete(engine)
    })
    this.#steadyPasses = 0
  }

  #recordCounts (counts: RoleCounts): void {
    const same = counts.prefill === this.#counts?.prefill && counts.decode === this.#counts.decode
    this.#steadyPasses = same ? this.#steadyPasses + 1 : 1
    this.#counts = counts
  }

  #updatePlan (engines: BalancedEngines, counts: RoleCounts, minimum: RoleCounts, load: RoleLoad | undefined): RolePlan {
    const nowMs = this.#opts.clock.nowMs()
    const plan = planRoles({
      counts,
      minimum,
      changing: this.#moves.size > 0 || allOf(engines).some(isChanging),
      load,
      sinceLastChangeMs: this.#lastChangeMs === undefined ? undefined : nowMs - this.#lastChangeMs,
    })
    if (plan.outcome !== this.#plan?.outcome || plan.target.prefill !== this.#plan.target.prefill) this.#opts.onPlan?.(plan, load)
    this.#plan = plan
    return plan
  }

  #startMoves (engines: BalancedEngines, { from, count }: RolePlan): void {
    if (from === undefined || this.#steadyPasses < STEADY_PASSES) return
    const nowMs = this.#opts.clock.nowMs()
    this.#lastChangeMs = nowMs
    rankCandidates(engines, from).slice(0, count).forEach(({ name }) => this.#moves.set(name, { from, sinceMs: nowMs, ordered: false }))
  }

  /** Removes moves of engines that have their new role, are no longer listed, or timed out. */
  #removeEndedMoves (engines: BalancedEngines): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#moves.forEach(({ from, sinceMs }, name) => {
      const isListed = engines[from].some((engine) => engine.name === name && !engine.leaving)
      if (!isListed || nowMs - sinceMs > MOVE_TIMEOUT_MS) this.#moves.delete(name)
    })
  }

  #isReadyForOrder ({ name, reservations, report }: BalancedEngine): boolean {
    const move = this.#moves.get(name)
    return move !== undefined && !move.ordered && reservations === 0 && report !== undefined && !report.changing
  }

  async #send ({ name, address, report }: BalancedEngine): Promise<void> {
    const { clock, engines, lease, holder, listRevision: listOrder, orderTimeoutMs, onOrder } = this.#opts
    const move = this.#moves.get(name)
    // After a pause of the process, updates received meanwhile are processed before the lease is checked.
    await clock.awaitPendingInput()
    if (!move || move.ordered) return
    const ordersTaken = report?.ordersTaken ?? 0
    const order: EngineOrder = { kind: OrderKind.ChangeRole, role: otherRole(move.from), fence: uniqueFenceOf(listOrder(), ordersTaken, holder), instance: name, holder, ordersTaken: report?.ordersTaken }
    if (!lease.isValid()) {
      this.#moves.delete(name)
      onOrder?.({ engine: name, address, order }, OrderOutcome.NotSent)
      return
    }
    move.ordered = true
    await engines.order(address, order, { timeoutMs: orderTimeoutMs }).then(
      () => onOrder?.({ engine: name, address, order }, OrderOutcome.Accepted),
      (thrown: unknown) => {
        const outcome = outcomeOf(thrown)
        // An unanswered order may have been accepted, which the engine's reports will show.
        if (outcome === OrderOutcome.Refused) this.#moves.delete(name)
        onOrder?.({ engine: name, address, order }, outcome)
      }
    )
  }
}

function otherRole (role: EngineRole): EngineRole {
  return role === EngineRole.Prefill ? EngineRole.Decode : EngineRole.Prefill
}

function allOf (engines: BalancedEngines): BalancedEngine[] {
  return [...engines.prefill, ...engines.decode]
}

/** Unresponsive engines count: most return within seconds, and the others are removed from the list. */
function countPresent (engines: readonly BalancedEngine[]): number {
  return engines.filter(({ leaving }) => !leaving).length
}

function isChanging ({ report, leaving }: BalancedEngine): boolean {
  return !leaving && report?.changing === true
}

/**
 * Engines that can change their role, best candidates first: those in availability zones with a
 * surplus of their role over the other, so that prefill stays close to decode, then those with few requests.
 */
function rankCandidates (engines: BalancedEngines, from: EngineRole): BalancedEngine[] {
  const surplus = (zone: string) => countInZone(engines[from], zone) - countInZone(engines[otherRole(from)], zone)
  return engines[from]
    .filter(({ leaving, report }) => !leaving && report && !report.changing)
    .sort((a, b) => surplus(b.availabilityZone) - surplus(a.availabilityZone) || a.reservations - b.reservations || hash32(a.name) - hash32(b.name))
}

function countInZone (engines: readonly BalancedEngine[], zone: string): number {
  return engines.filter(({ availabilityZone, leaving }) => availabilityZone === zone && !leaving).length
}
