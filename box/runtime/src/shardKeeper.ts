import { type Configuration } from '@reelspan/config.resources'
import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type EngineAccount } from '@reelspan/scheduling.ledger'
import { type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { type EngineClient, type EngineReport, EngineRole, ReportStart, reportStart } from '@reelspan/upstream.client'
import { type HoldSweeper } from '@reelspan/upstream.holds'
import { type BalancedEngine, OrderController, type OrderControllerOptions, type OrderRight, RoleBalancer, type RoleBalancerOptions } from '@reelspan/upstream.orders'

export interface ShardKeeperOptions {
  clock: Clock
  engines: EngineClient
  scheduler: ShardScheduler
  sweeper: HoldSweeper
  right: OrderRight
  configuration: () => Configuration
  reportPeriodMs: number
  onOrder: OrderControllerOptions['onOrder']
  /** Engines are given the roles that the load needs. Without it they keep those that the list gives them. */
  roles?: Pick<RoleBalancerOptions, 'holder' | 'listOrder' | 'onPlan'>
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

/** Engines answer a report within some milliseconds. */
const CHECK_TIMEOUT_MS = 300
/** Cache events are asked for at every so many passes. */
const CACHE_EVENTS_EVERY = 2

/** What the box that accounts for a shard does: asks its engines, frees what nobody answers for, gives orders. */
export class ShardKeeper {
  readonly scheduler: ShardScheduler
  readonly right: OrderRight
  readonly #opts: ShardKeeperOptions
  readonly #tasks: TaskGroup
  readonly #orders: OrderController
  readonly #balancer?: RoleBalancer
  readonly #checked = new Set<string>()
  readonly #cacheSequences = new Map<string, number>()
  #pass = 0

  constructor (opts: ShardKeeperOptions) {
    this.#opts = opts
    this.scheduler = opts.scheduler
    this.right = opts.right
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    const orderTimeoutMs = opts.reportPeriodMs * 2
    this.#orders = new OrderController({ ...opts, orderTimeoutMs })
    this.#balancer = opts.roles && new RoleBalancer({ ...opts, ...opts.roles, orderTimeoutMs })
  }

  start (): void {
    this.#tasks.repeat(() => this.#lookAround(), { periodMs: this.#opts.reportPeriodMs })
  }

  /** State for the dump. */
  describe () {
    return { ...this.scheduler.describe(), mayOrder: this.right.holds(), roles: this.#balancer?.plan }
  }

  async stop (): Promise<void> {
    await this.scheduler.stop()
    await this.#tasks.stop()
  }

  /** Looks whether an engine that was not reached answers this box. One that does not gets no work until it reports again. */
  async checkReachable (engineName: string): Promise<void> {
    const engine = this.scheduler.ledger.allEngines().find(({ name }) => name === engineName)
    if (!engine || this.#checked.has(engineName)) return
    this.#checked.add(engineName)
    await this.#askReport(engine, CHECK_TIMEOUT_MS)
    this.#checked.delete(engineName)
  }

  async #lookAround (): Promise<void> {
    this.#pass++
    await Promise.all(this.scheduler.ledger.allEngines().map((engine) => this.#lookAt(engine)))
    if (this.right.holds()) await this.#giveOrders()
    else this.#balancer?.standDown()
  }

  async #lookAt (engine: EngineAccount<unknown>): Promise<void> {
    const report = await this.#askReport(engine, this.#opts.reportPeriodMs)
    if (!report) return
    this.#tasks.run(() => this.#opts.sweeper.sweep(engine, report.holds))
    if (report.role === EngineRole.Prefill && this.#pass % CACHE_EVENTS_EVERY === 0) await this.#readCacheEvents(engine)
  }

  /** Asks an engine for its report, and lets the scheduler know of it or of its silence. */
  async #askReport (engine: EngineAccount<unknown>, timeoutMs: number): Promise<EngineReport | undefined> {
    const { engines } = this.#opts
    const { name, address } = engine
    // The client tells of a failure.
    const report = await engines.report(address, { timeoutMs, signal: this.#tasks.signal }).catch(() => undefined)
    if (report) this.scheduler.noteReport(name, report)
    else this.scheduler.noteSilent(name)
    return report && reportStart(engine, report) === ReportStart.Same ? report : undefined
  }

  async #readCacheEvents ({ name, address }: EngineAccount<unknown>): Promise<void> {
    const { engines, reportPeriodMs } = this.#opts
    const since = this.#cacheSequences.get(name) ?? 0
    // The client tells of a failure; the next page asked for has what this one would have had.
    const page = await engines.cacheEvents(address, since, { timeoutMs: reportPeriodMs, signal: this.#tasks.signal }).catch(() => undefined)
    if (!page) return
    this.#cacheSequences.set(name, page.nextSequence)
    this.scheduler.noteRemovals(name, { removedDigests: page.removedDigests, afterGap: page.firstSequence > since || page.nextSequence < since })
  }

  async #giveOrders (): Promise<void> {
    const { ledger } = this.scheduler
    const { model, prefillPool, decodePool } = ledger.shard
    const inRole = (engine: EngineAccount<unknown>) => this.#isInRole(engine)
    const plans = [
      await this.#orders.pass({ model, role: EngineRole.Prefill, pool: prefillPool, engines: ledger.prefillEngines().filter(inRole) }),
      await this.#orders.pass({ model, role: EngineRole.Decode, pool: decodePool, engines: ledger.decodeEngines().filter(inRole) }),
    ]
    await this.#balanceRoles()
    const retiring = new Set(plans.flatMap((plan) => plan.retiring))
    ledger.allEngines().forEach((engine) => { engine.retiring = retiring.has(engine.name) || this.#balancer?.isMoving(engine.name) === true })
  }

  /** Where roles follow the load, the list tells of them late and does not wish for them. */
  #isInRole ({ name, role, report }: EngineAccount<unknown>): boolean {
    return !this.#balancer || (!this.#balancer.isMoving(name) && (report === undefined || report.role === role))
  }

  async #balanceRoles (): Promise<void> {
    const { ledger } = this.scheduler
    const { prefillPool, decodePool } = ledger.shard
    const balanced = (engine: EngineAccount<unknown>): BalancedEngine => ({ ...engine, reservations: ledger.reservationsOn(engine.name) })
    await this.#balancer?.pass(
      { prefill: ledger.prefillEngines().map(balanced), decode: ledger.decodeEngines().map(balanced) },
      { prefill: Math.max(1, prefillPool.minReadyEngines), decode: Math.max(1, decodePool.minReadyEngines) },
      this.scheduler.observedLoad()
    )
  }
}
