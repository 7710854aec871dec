import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { type EngineClient, EngineRole, type EngineOrder, OrderKind } from '@reelspan/upstream.client'
import { uniqueFenceOf } from './fenceOf.js'
import { OrderOutcome, outcomeOf } from './orderOutcome.js'
import { type OrderRight } from './orderRight.js'
import { type PlannedOrder, type ReportedEngine } from './planOrders.js'
import { type RoleCounts, type RoleLoad, type RolePlan, planRoles } from './planRoles.js'

/** An engine that may be told another role. */
export interface BalancedEngine extends ReportedEngine {
  availabilityZone: string
  /** Requests that are placed on it. */
  reservations: number
}

/** The engines of one shard, by the role that the list gives them. */
export type BalancedEngines = Record<EngineRole, readonly BalancedEngine[]>

export interface RoleBalancerOptions {
  clock: Clock
  engines: EngineClient
  right: OrderRight
  /** The name of this box, which no other has. */
  holder: string
  /** The order of the list that this box knows. It rises over all boxes, and all eras of the platform's store. */
  listOrder: () => number
  orderTimeoutMs: number
  onPlan?: (plan: RolePlan, load: RoleLoad | undefined) => void
  onOrder?: (order: PlannedOrder, outcome: OrderOutcome) => void
}

/** An engine on its way to another role. */
interface Move {
  from: EngineRole
  sinceMs: number
  ordered: boolean
}

/** Engines of both roles are as many for this many passes before one changes: those that crash or are replaced come and go within a second or two. */
const STEADY_PASSES = 2
/** An engine that is not empty by then, or has not changed its role, is let go again: the longest change that was seen took 14 s, 7 s of it to end its work. */
const MOVE_LIFE_MS = 25_000

/**
 * Brings the engines of one shard into the roles that their load needs. An engine
 * gets no new work from when it is chosen, and its order when it is empty.
 */
export class RoleBalancer {
  readonly #opts: RoleBalancerOptions
  readonly #moves = new Map<string, Move>()
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

  /** Whether an engine is to get no new work. */
  isMoving (engine: string): boolean {
    return this.#moves.has(engine)
  }

  async pass (engines: BalancedEngines, least: RoleCounts, load: RoleLoad | undefined): Promise<void> {
    this.#forgetEnded(engines)
    const counts = { prefill: countOf(engines.prefill), decode: countOf(engines.decode) }
    this.#noteCounts(counts)
    this.#choose(engines, this.#planNow(engines, counts, least, load))
    const ready = allOf(engines).filter((engine) => this.#isReady(engine))
    for (const engine of ready) await this.#send(engine)
  }

  /** The right to order is lost: engines that were not ordered yet work on. */
  standDown (): void {
    this.#moves.forEach(({ ordered }, engine) => {
      if (!ordered) this.#moves.delete(engine)
    })
    this.#steadyPasses = 0
  }

  #noteCounts (counts: RoleCounts): void {
    const same = counts.prefill === this.#counts?.prefill && counts.decode === this.#counts.decode
    this.#steadyPasses = same ? this.#steadyPasses + 1 : 1
    this.#counts = counts
  }

  #planNow (engines: BalancedEngines, counts: RoleCounts, least: RoleCounts, load: RoleLoad | undefined): RolePlan {
    const nowMs = this.#opts.clock.nowMs()
    const plan = planRoles({
      counts,
      least,
      changing: this.#moves.size > 0 || allOf(engines).some(isChanging),
      load,
      sinceLastChangeMs: this.#lastChangeMs === undefined ? undefined : nowMs - this.#lastChangeMs,
    })
    if (plan.outcome !== this.#plan?.outcome || plan.target.prefill !== this.#plan.target.prefill) this.#opts.onPlan?.(plan, load)
    this.#plan = plan
    return plan
  }

  #choose (engines: BalancedEngines, { from, count }: RolePlan): void {
    if (from === undefined || this.#steadyPasses < STEADY_PASSES) return
    const nowMs = this.#opts.clock.nowMs()
    this.#lastChangeMs = nowMs
    withLeastToLose(engines, from).slice(0, count).forEach(({ name }) => this.#moves.set(name, { from, sinceMs: nowMs, ordered: false }))
  }

  /** Forgets engines that have come to their new role, are gone, or never got there. */
  #forgetEnded (engines: BalancedEngines): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#moves.forEach(({ from, sinceMs }, name) => {
      const stillThere = engines[from].some((engine) => engine.name === name && !engine.leaving)
      if (!stillThere || nowMs - sinceMs > MOVE_LIFE_MS) this.#moves.delete(name)
    })
  }

  #isReady ({ name, reservations, report }: BalancedEngine): boolean {
    const move = this.#moves.get(name)
    return move !== undefined && !move.ordered && reservations === 0 && report !== undefined && !report.changing
  }

  async #send ({ name, address, report }: BalancedEngine): Promise<void> {
    const { clock, engines, right, holder, listOrder, orderTimeoutMs, onOrder } = this.#opts
    const move = this.#moves.get(name)
    // After a pause, news that came meanwhile is read before the right is checked.
    await clock.settle()
    if (!move || move.ordered) return
    const ordersTaken = report?.ordersTaken ?? 0
    const order: EngineOrder = { kind: OrderKind.ChangeRole, role: otherRole(move.from), fence: uniqueFenceOf(listOrder(), ordersTaken, holder), instance: name, holder, ordersTaken: report?.ordersTaken }
    if (!right.holds()) {
      this.#moves.delete(name)
      onOrder?.({ engine: name, address, order }, OrderOutcome.NotSent)
      return
    }
    move.ordered = true
    await engines.order(address, order, { timeoutMs: orderTimeoutMs }).then(
      () => onOrder?.({ engine: name, address, order }, OrderOutcome.Accepted),
      (thrown: unknown) => {
        const outcome = outcomeOf(thrown)
        // One that was not answered may have been taken: the engine's reports will tell.
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

/** Silent ones count: most are back within seconds, and the list drops those that are not. */
function countOf (engines: readonly BalancedEngine[]): number {
  return engines.filter(({ leaving }) => !leaving).length
}

function isChanging ({ report, leaving }: BalancedEngine): boolean {
  return !leaving && report?.changing === true
}

/**
 * Those that can be asked, the ones with the least to lose first: with few requests,
 * and from availability zones with many of their role against the other, so that prompts
 * are read near to where they are decoded.
 */
function withLeastToLose (engines: BalancedEngines, from: EngineRole): BalancedEngine[] {
  const surplus = (zone: string) => inZone(engines[from], zone) - inZone(engines[otherRole(from)], zone)
  return engines[from]
    .filter(({ leaving, report }) => !leaving && report && !report.changing)
    .sort((a, b) => surplus(b.availabilityZone) - surplus(a.availabilityZone) || a.reservations - b.reservations || hash32(a.name) - hash32(b.name))
}

function inZone (engines: readonly BalancedEngine[], zone: string): number {
  return engines.filter(({ availabilityZone, leaving }) => availabilityZone === zone && !leaving).length
}
