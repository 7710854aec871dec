import { type Configuration } from '@reelspan/config.resources'
import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type DecodeAccount, type EngineAccount, type PrefillAccount } from '@reelspan/scheduling.ledger'
import { type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { type EngineClient, type EngineReport, EngineRole, ReportedStart, compareReportedStart } from '@reelspan/upstream.client'
import { type HoldSweeper } from '@reelspan/upstream.holds'
import { type BalancedEngine, OrderController, type OrderControllerOptions, type OrderLease, RoleBalancer, type RoleBalancerOptions } from '@reelspan/upstream.orders'

export interface ShardManagerOptions {
  clock: Clock
  engines: EngineClient
  scheduler: ShardScheduler
  sweeper: HoldSweeper
  lease: OrderLease
  configuration: () => Configuration
  reportPeriodMs: number
  onOrder: OrderControllerOptions['onOrder']
  /** Called with each report of an engine. */
  onReport: (engine: string, report: EngineReport) => void
  /** Enables role balancing, which assigns engine roles by load. Without it, engines keep the roles of the fleet list. */
  roles?: Pick<RoleBalancerOptions, 'holder' | 'listRevision' | 'onPlan'>
  /** Whether a call to an engine failed because this box has lost its own network paths. */
  hasLostPaths: () => Promise<boolean>
  /** Called when a background task throws unexpectedly. */
  onTaskError?: TaskErrorListener
}

type AnyEngine = EngineAccount<PrefillAccount | DecodeAccount>

/** The outcome of a request for an engine's report. */
interface FetchedReport {
  engine: AnyEngine
  report?: EngineReport
  /** When it was sent, if the engine has not answered it. */
  silentSinceMs?: number
}

/** Timeout of a reachability check. Engines answer a report within a few milliseconds. */
const CHECK_TIMEOUT_MS = 300
/** Cache events are read on every nth polling pass. */
const CACHE_EVENTS_EVERY_PASSES = 2

/** Tells an owner that a scheduler cannot place, since its box lost its network paths before the engines reported. */
export function cannotPlace (): ReelspanError {
  return new ReelspanError(ErrorCode.NotReady, 'this box has lost its paths to the engines and has no report of them')
}

/** Manages a shard at its scheduler's box: polls the engines, releases holds that no owner confirms, and sends orders. */
export class ShardManager {
  readonly scheduler: ShardScheduler
  readonly lease: OrderLease
  readonly #opts: ShardManagerOptions
  readonly #tasks: TaskGroup
  readonly #orders: OrderController
  readonly #balancer?: RoleBalancer
  readonly #checksInFlight = new Set<string>()
  /** Silent engines with an outstanding request for their report. */
  readonly #awaited = new Set<string>()
  readonly #cacheSequences = new Map<string, number>()
  #passCount = 0

  constructor (opts: ShardManagerOptions) {
    this.#opts = opts
    this.scheduler = opts.scheduler
    this.lease = opts.lease
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    const orderTimeoutMs = opts.reportPeriodMs * 2
    this.#orders = new OrderController({ ...opts, lease: opts.lease, orderTimeoutMs })
    this.#balancer = opts.roles && new RoleBalancer({ ...opts, ...opts.roles, lease: opts.lease, orderTimeoutMs })
  }

  start (): void {
    this.#tasks.repeat(() => this.#poll(), { periodMs: this.#opts.reportPeriodMs })
  }

  /** State for the debug endpoint. */
  describe () {
    return { ...this.scheduler.describe(), mayOrder: this.lease.isValid(), roles: this.#balancer?.plan }
  }

  async stop (): Promise<void> {
    await this.scheduler.stop()
    await this.#tasks.stop()
  }

  /** Checks whether an engine that an owner could not reach answers this box. If not, it gets no work until it reports again. */
  async checkReachable (engineName: string): Promise<void> {
    const engine = this.scheduler.ledger.allEngines().find(({ name }) => name === engineName)
    if (!engine || this.#checksInFlight.has(engineName) || this.#awaited.has(engineName)) return
    this.#checksInFlight.add(engineName)
    const { silentSinceMs } = await this.#fetchReport(engine, CHECK_TIMEOUT_MS)
    this.#checksInFlight.delete(engineName)
    if (silentSinceMs === undefined) return
    this.#recordSilent([{ engine, silentSinceMs }])
    await this.#checkPoolOf(engine)
  }

  /** Finds out whether an engine is silent alone or with its pool. */
  async #checkPoolOf ({ name, role }: AnyEngine): Promise<void> {
    await this.#fetchReports(this.#heardEngines().filter((other) => other.role === role && other.name !== name), CHECK_TIMEOUT_MS)
  }

  /** Engines other than those that are known to be silent, of which a report is requested all the time. */
  #heardEngines (): AnyEngine[] {
    return this.scheduler.ledger.allEngines().filter(({ name }) => !this.#awaited.has(name))
  }

  /** Requests the reports of all engines, in addition to the regular ones. */
  async refreshReports (): Promise<void> {
    await this.#fetchReports(this.#heardEngines(), CHECK_TIMEOUT_MS)
  }

  async #poll (): Promise<void> {
    this.#passCount++
    this.#recordSilent(await Promise.all(this.#heardEngines().map((engine) => this.#pollEngine(engine))))
    if (this.lease.isValid()) await this.#sendOrders()
    else this.#balancer?.cancelUnorderedMoves()
  }

  async #pollEngine (engine: AnyEngine): Promise<FetchedReport> {
    const fetched = await this.#fetchReport(engine, this.#opts.reportPeriodMs)
    const { report } = fetched
    if (!report) return fetched
    this.#tasks.run(() => this.#opts.sweeper.sweep(engine, report.holds))
    if (report.role === EngineRole.Prefill && this.#passCount % CACHE_EVENTS_EVERY_PASSES === 0) await this.#readCacheEvents(engine)
    return fetched
  }

  async #fetchReports (engines: readonly AnyEngine[], timeoutMs: number): Promise<void> {
    this.#recordSilent(await Promise.all(engines.map((engine) => this.#fetchReport(engine, timeoutMs))))
  }

  /** Fetches an engine's report and passes it, or a failure other than silence, to the scheduler. */
  async #fetchReport (engine: AnyEngine, timeoutMs: number): Promise<FetchedReport> {
    const { engines } = this.#opts
    const { name, address } = engine
    const askedAtMs = this.#opts.clock.nowMs()
    // The client logs a failure.
    const report = await engines.report(address, { timeoutMs, signal: this.#tasks.signal }).catch(() => undefined)
    if (this.#tasks.stopped) return { engine }
    const isSilent = !report && this.#opts.clock.nowMs() - askedAtMs >= timeoutMs
    if (report) this.#opts.onReport(name, report)
    if (report) this.scheduler.recordReport(name, report, askedAtMs)
    // A scheduler without network paths places by the last reports until another box takes over.
    else if (await this.#opts.hasLostPaths()) this.#onPathsLost(name)
    else if (isSilent) return { engine, silentSinceMs: askedAtMs }
    else this.scheduler.markUnresponsive(name)
    return { engine, report: report && compareReportedStart(engine, report) === ReportedStart.Same ? report : undefined }
  }

  #recordSilent (fetched: readonly FetchedReport[]): void {
    const silent = fetched.flatMap(({ engine, silentSinceMs: sinceMs }) => sinceMs === undefined || this.#hasReportedSince(engine, sinceMs) ? [] : [{ engine, sinceMs }])
    if (silent.length === 0 || this.#tasks.stopped) return
    this.scheduler.markSilent(silent.map(({ engine: { name }, sinceMs }) => ({ name, sinceMs })))
    silent.filter(({ engine: { name } }) => !this.#awaited.has(name)).forEach(({ engine }) => this.#tasks.run(() => this.#awaitReport(engine)))
  }

  /** Another request for the report may have been answered. */
  #hasReportedSince ({ report, reportAtMs }: AnyEngine, sinceMs: number): boolean {
    return report !== undefined && reportAtMs >= sinceMs
  }

  /** Keeps a request with a silent engine until it answers, so that a pause is known to be over when it is. */
  async #awaitReport (engine: AnyEngine): Promise<void> {
    const { name } = engine
    this.#awaited.add(name)
    for (let silent = true; silent;) {
      const fetched = await this.#fetchReport(engine, this.#opts.reportPeriodMs)
      this.#recordSilent([fetched])
      silent = fetched.silentSinceMs !== undefined && this.scheduler.ledger.allEngines().includes(engine)
    }
    this.#awaited.delete(name)
  }

  #onPathsLost (engineName: string): void {
    this.scheduler.ignoreUnreachable(engineName)
    if (!this.scheduler.hasReports) this.scheduler.rejectWaiting(cannotPlace())
  }

  async #readCacheEvents ({ name, address }: EngineAccount<unknown>): Promise<void> {
    const { engines, reportPeriodMs } = this.#opts
    const since = this.#cacheSequences.get(name) ?? 0
    // The client logs a failure. The next page starts at the same sequence number, so no event is lost.
    const page = await engines.cacheEvents(address, since, { timeoutMs: reportPeriodMs, signal: this.#tasks.signal }).catch(() => undefined)
    if (!page) return
    this.#cacheSequences.set(name, page.nextSequence)
    this.scheduler.recordRemovals(name, { removedDigests: page.removedDigests, afterGap: page.firstSequence > since || page.nextSequence < since })
  }

  async #sendOrders (): Promise<void> {
    const { ledger } = this.scheduler
    const { model, prefillPool, decodePool } = ledger.shard
    const inRole = (engine: EngineAccount<unknown>) => this.#isInRole(engine)
    const plans = [
      await this.#orders.reconcile({ model, role: EngineRole.Prefill, pool: prefillPool, engines: ledger.prefillEngines().filter(inRole) }),
      await this.#orders.reconcile({ model, role: EngineRole.Decode, pool: decodePool, engines: ledger.decodeEngines().filter(inRole) }),
    ]
    await this.#balanceRoles()
    const retiring = new Set(plans.flatMap((plan) => plan.retiring))
    ledger.allEngines().forEach((engine) => { engine.retiring = retiring.has(engine.name) || this.#balancer?.isChangingRole(engine.name) === true })
  }

  /**
   * Whether an engine has the role that the fleet list gives it. With role balancing, the list lags
   * behind the actual roles and does not state the desired ones.
   */
  #isInRole ({ name, role, report }: EngineAccount<unknown>): boolean {
    return !this.#balancer || (!this.#balancer.isChangingRole(name) && (report === undefined || report.role === role))
  }

  async #balanceRoles (): Promise<void> {
    const { ledger } = this.scheduler
    const { prefillPool, decodePool } = ledger.shard
    const balanced = (engine: EngineAccount<unknown>): BalancedEngine => ({ ...engine, reservations: ledger.reservationsOn(engine.name) })
    await this.#balancer?.reconcile(
      { prefill: ledger.prefillEngines().map(balanced), decode: ledger.decodeEngines().map(balanced) },
      { prefill: Math.max(1, prefillPool.minReadyEngines), decode: Math.max(1, decodePool.minReadyEngines) },
      this.scheduler.observedLoad()
    )
  }
}
