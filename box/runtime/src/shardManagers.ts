import { type FleetList } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type ConfigStore } from '@reelspan/config.store'
import { type PauseDetector } from '@reelspan/core.env'
import { type HoldLabel } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { createPrefixIndex } from '@reelspan/scheduling.prefix-index'
import { type AdmissionDecision, type AdmissionInputs, ShardScheduler, type ShareUse } from '@reelspan/scheduling.scheduler'
import { deriveShards, schedulerOf, type Shard } from '@reelspan/scheduling.shards'
import { LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { HoldSweeper } from '@reelspan/upstream.holds'
import { OrderLease, type RoleLoad, type RolePlan } from '@reelspan/upstream.orders'
import { type BoxEnvironment } from './boxEnvironment.js'
import { type FailureLog } from './failureLog.js'
import { ShardManager, type ShardManagerOptions } from './shardManager.js'

export interface ShardManagersOptions extends BoxEnvironment {
  failures: FailureLog
  pauseDetector: PauseDetector
  declarations: ConfigStore<Configuration>
  /** The fleet list that this box acts on. Its revision also counts changes that this box makes to the list. */
  fleet: { readonly value: FleetList, readonly revision: number }
  /** Order of the platform's fleet list, by which boxes compare the age of their lists. */
  listRevision: () => number
  /** Rate limit that an engine advertises, in requests per second; undefined if it advertises none. */
  limitPerSecond: (engine: string) => number | undefined
  view: MembershipView
  /** Confirms which requests of this box still run; undefined if the incarnation is not this box's current one. */
  confirmRunningHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  isGone: (incarnation: string) => boolean
  /** Whether a call to an engine failed because this box has lost its own network paths. */
  hasLostPaths: () => Promise<boolean>
  onReport: ShardManagerOptions['onReport']
  /** When the platform or a majority of the watched peers last answered. */
  lastContactMs: () => number
}

/** A report older than this many periods is ignored. */
const REPORT_TTL_PERIODS = 4

/** Manages the shards that this box schedules as declarations, fleet and membership change. */
export class ShardManagers {
  readonly #opts: ShardManagersOptions
  readonly #managers = new Map<string, ShardManager>()
  #shards: Shard[] = []
  #shardsRevision = ''

  constructor (opts: ShardManagersOptions) {
    this.#opts = opts
  }

  shards (): readonly Shard[] {
    const { declarations, fleet } = this.#opts
    const revision = `${declarations.revision}/${fleet.revision}`
    if (revision !== this.#shardsRevision) this.#shards = deriveShards(declarations.value, fleet.value)
    this.#shardsRevision = revision
    return this.#shards
  }

  shardsOfModel (model: string): Shard[] {
    return this.shards().filter((shard) => shard.model === model)
  }

  /**
   * Returns the scheduler of a shard and creates it on demand: an owner may learn earlier than
   * this box that it has become the scheduler. Two schedulers of a shard at the same time are harmless.
   */
  scheduler (shardId: string): ShardScheduler | undefined {
    const shard = this.shards().find(({ id }) => id === shardId)
    return shard && this.#managerOf(shard).scheduler
  }

  /** The scheduler of a shard, if this box has created it. */
  existing (shardId: string): ShardScheduler | undefined {
    return this.#managers.get(shardId)?.scheduler
  }

  /** Starts and stops managing shards. Called after every change of declarations, fleet or members. */
  reconcile (): void {
    const { view } = this.#opts
    const shards = this.shards()
    const members = view.schedulerCandidates()
    shards.forEach((shard) => {
      const isScheduler = schedulerOf(shard, members)?.incarnation === view.self.incarnation
      if (isScheduler) this.#managerOf(shard).lease.acquire()
      else this.#managers.get(shard.id)?.lease.release()
      this.#managers.get(shard.id)?.scheduler.update(shard)
    })
    const ids = new Set(shards.map(({ id }) => id))
    this.#managers.forEach((manager, id) => {
      if (!ids.has(id) || (!manager.lease.isAcquired && manager.scheduler.idle)) this.#removeManager(id, manager)
    })
  }

  /** Requests the reports of all engines that this box schedules. */
  async refreshReports (): Promise<void> {
    await Promise.all([...this.#managers.values()].map((manager) => manager.refreshReports()))
  }

  releaseOwner (incarnation: string): void {
    this.#managers.forEach(({ scheduler }) => scheduler.releaseOwner(incarnation))
  }

  /** Age of the oldest last report among the engines that this box schedules. */
  oldestReportAgeMs (): number | undefined {
    const times = [...this.#managers.values()].map(({ scheduler }) => scheduler.ledger.oldestReportAtMs()).filter((atMs) => atMs !== undefined)
    return times.length > 0 ? this.#opts.clock.nowMs() - Math.min(...times) : undefined
  }

  describe () {
    return [...this.#managers.values()].map((manager) => manager.describe())
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#managers.values()].map((manager) => manager.stop()))
  }

  #managerOf (shard: Shard): ShardManager {
    const existing = this.#managers.get(shard.id)
    if (existing) return existing
    const manager = this.#createManager(shard)
    this.#managers.set(shard.id, manager)
    manager.start()
    this.#opts.log.info(LogEvent.SchedulerTaken, { shard: shard.id })
    return manager
  }

  #removeManager (id: string, manager: ShardManager): void {
    this.#managers.delete(id)
    void manager.stop()
    this.#opts.log.info(LogEvent.SchedulerLeft, { shard: id })
  }

  #createManager (shard: Shard): ShardManager {
    const { clock, engines, declarations, settings, hasLostPaths, onReport, lastContactMs, pauseDetector, failures, log, metrics } = this.#opts
    const { reportPeriodMs, orderRightMs } = settings.scheduling
    const scheduler = this.#createScheduler(shard, (engine) => { void manager.checkReachable(engine) })
    const manager: ShardManager = new ShardManager({
      clock,
      engines,
      scheduler,
      sweeper: this.#createSweeper(scheduler),
      lease: new OrderLease({ clock, durationMs: orderRightMs, lastContactMs, pauses: pauseDetector }),
      configuration: () => declarations.value,
      hasLostPaths,
      onReport,
      reportPeriodMs,
      onTaskError: (thrown) => failures.recordTask('shardKeeper', thrown),
      roles: settings.scheduling.rolesFollowLoad ? this.#roleOptions(shard) : undefined,
      onOrder: ({ engine, order }, outcome) => {
        log.info(LogEvent.OrderSent, { engine, order: order.kind, fence: order.fence, outcome })
        metrics.count('reelspan_orders_total', { outcome })
      },
    })
    return manager
  }

  #roleOptions (shard: Shard): ShardManagerOptions['roles'] {
    const { settings, listRevision: listOrder, log } = this.#opts
    return {
      holder: settings.box.name,
      listRevision: listOrder,
      onPlan: (plan, load) => log.info(LogEvent.RolesPlanned, { shard: shard.id, ...rolePlanFields(plan, load) }),
    }
  }

  #createScheduler (shard: Shard, onUnreachable: (engineName: string) => void): ShardScheduler {
    const { clock, declarations, limitPerSecond, settings, failures, log, metrics } = this.#opts
    const { reportPeriodMs, prefixIndex } = settings.scheduling
    return new ShardScheduler({
      clock,
      shard,
      route: () => declarations.value.routeOfModel(shard.model)?.spec,
      accounts: () => declarations.value.accounts(),
      index: createPrefixIndex(prefixIndex),
      maxReportAgeMs: reportPeriodMs * REPORT_TTL_PERIODS,
      limitPerSecond,
      onUnreachable,
      onSuspected: (upstream, { forMs, failureShare, cause, reportedBy }) => log.warn(LogEvent.UpstreamSuspected, { upstream, shard: shard.id, forMs, failureShare: Number(failureShare.toFixed(2)), cause, reportedBy }),
      onUnresponsive: (upstream) => log.warn(LogEvent.EngineUnresponsive, { upstream, shard: shard.id }),
      onFull: (upstream, { slots, limitedMs }) => {
        log.info(LogEvent.EngineFull, { upstream, shard: shard.id, slots, limitedMs })
        metrics.count('reelspan_engines_full_total', { shard: shard.id })
      },
      onTrusted: (upstream) => log.info(LogEvent.UpstreamTrusted, { upstream, shard: shard.id }),
      onAdmission: (attempt, inputs, decision, share) => log.info(LogEvent.AdmissionDecided, { attempt, shard: shard.id, ...this.#shareFields(share), ...admissionFields(inputs, decision) }),
      onAnswered: (outcome, share) => {
        const { account = '', overShare } = this.#shareFields(share)
        metrics.count('reelspan_share_requests_total', { account, outcome, share: overShare ? 'over' : 'within' })
      },
      onForecastError: (errorMs) => metrics.recordMs('reelspan_forecast_error_ms', Math.abs(errorMs), { firstToken: errorMs > 0 ? 'later' : 'earlier' }),
      onEarlyRetry: () => metrics.count('reelspan_early_retries_total', { refusedBy: 'scheduler' }),
      onTaskError: (thrown) => failures.recordTask('shardScheduler', thrown),
    })
  }

  /** The client as its account. Without accounts, callers name clients freely, so these are neither logged nor counted apart. */
  #shareFields ({ client, overShare }: ShareUse): { account?: string, overShare: boolean } {
    return { account: this.#opts.declarations.value.account(client) && client, overShare }
  }

  #createSweeper (scheduler: ShardScheduler): HoldSweeper {
    const { clock, link, engines, settings, isGone, confirmRunningHere, log, metrics } = this.#opts
    const { reportPeriodMs } = settings.scheduling
    return new HoldSweeper({
      clock,
      link,
      engines,
      isGone,
      confirmRunningHere,
      isReserved: (label: HoldLabel) => scheduler.ledger.isCurrent(label, clock.nowMs()),
      confirmTimeoutMs: reportPeriodMs,
      releaseTimeoutMs: reportPeriodMs,
      onRelease: (engine, hold, reason) => {
        scheduler.release(hold.label)
        log.info(LogEvent.HoldReleased, { engine, kind: hold.kind, kvBytes: hold.kvBytes, reason })
        metrics.count('reelspan_holds_released_total', { reason })
      },
    })
  }
}

/** Log fields of an admission decision and its inputs. */
function admissionFields (inputs: AdmissionInputs, { outcome, estimateMs, errorMs, slotMs, lateSlotMs }: AdmissionDecision): LogFields {
  const { aheadInTime, aheadLate, aheadDue, slotsUntilOwn, msPerPlace, msPerArrival, inTimeLeftMs, usefulLeftMs, returned, promised, kept, forecast, newcomerError } = inputs
  return {
    outcome,
    estimateMs: roundedMs(estimateMs),
    errorMs: Math.round(errorMs),
    slotMs: roundedMs(slotMs),
    lateSlotMs: roundedMs(lateSlotMs),
    forecastFrom: forecast ? 'reservations' : 'rate',
    newcomerError: newcomerError && Number(newcomerError.toFixed(2)),
    aheadInTime,
    aheadLate,
    aheadDue,
    slotsUntilOwn: slotsUntilOwn && Math.ceil(slotsUntilOwn),
    msPerPlace: Math.round(msPerPlace),
    msPerArrival: msPerArrival && Math.round(msPerArrival),
    inTimeLeftMs: Math.round(inTimeLeftMs),
    usefulLeftMs: Math.round(usefulLeftMs),
    returned,
    promised,
    kept,
  }
}

/** Undefined for an unknown or infinite time. */
function roundedMs (timeMs = Number.POSITIVE_INFINITY): number | undefined {
  return Number.isFinite(timeMs) ? Math.round(timeMs) : undefined
}

/** Log fields of a role plan and the load that it is based on. */
function rolePlanFields ({ outcome, target, from, count, servesPerSecond, targetServesPerSecond }: RolePlan, load?: RoleLoad): LogFields {
  const rounded = (value: number | undefined) => value && Number(value.toFixed(1))
  return {
    outcome,
    targetPrefill: target.prefill,
    targetDecode: target.decode,
    from,
    count,
    servesPerSecond: rounded(servesPerSecond),
    targetServesPerSecond: rounded(targetServesPerSecond),
    prefillMs: rounded(load?.prefillMs),
    decodeMs: rounded(load?.decodeMs),
    arrivalsPerSecond: load && rounded(load.arrivalsPerMs * 1000),
  }
}
