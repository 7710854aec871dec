import { type FleetList } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type ConfigStore } from '@reelspan/config.store'
import { type PauseWatch } from '@reelspan/core.env'
import { type HoldLabel } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { createPrefixIndex } from '@reelspan/scheduling.prefix-index'
import { type AdmissionDecision, type AdmissionInputs, ShardScheduler } from '@reelspan/scheduling.scheduler'
import { deriveShards, schedulerOf, type Shard } from '@reelspan/scheduling.shards'
import { LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { HoldSweeper } from '@reelspan/upstream.holds'
import { OrderRight, type RoleLoad, type RolePlan } from '@reelspan/upstream.orders'
import { type BoxEnvironment } from './boxEnvironment.js'
import { type FailureLog } from './failureLog.js'
import { ShardKeeper, type ShardKeeperOptions } from './shardKeeper.js'

export interface ShardKeepersOptions extends BoxEnvironment {
  failures: FailureLog
  pauses: PauseWatch
  declarations: ConfigStore<Configuration>
  /** The list that this box acts by. Its revision counts this box's own changes. */
  fleet: { readonly value: FleetList, readonly revision: number }
  /** The order of the platform's list, by which boxes tell which is the newer. */
  listOrder: () => number
  /** Requests a second that an engine takes; nothing where it names no limit. */
  limitPerSecond: (engine: string) => number | undefined
  view: MembershipView
  /** Answers for requests of this box's own incarnations. */
  vouchHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  isGone: (incarnation: string) => boolean
  /** When the platform or most watched peers last answered. */
  lastContactMs: () => number
}

/** A report this many periods old says nothing any more. */
const REPORT_LIFE_PERIODS = 4

/** The shards that this box accounts for, as declarations, fleet and membership change. */
export class ShardKeepers {
  readonly #opts: ShardKeepersOptions
  readonly #keepers = new Map<string, ShardKeeper>()
  #shards: Shard[] = []
  #shardsOf = ''

  constructor (opts: ShardKeepersOptions) {
    this.#opts = opts
  }

  shards (): readonly Shard[] {
    const { declarations, fleet } = this.#opts
    const of = `${declarations.revision}/${fleet.revision}`
    if (of !== this.#shardsOf) this.#shards = deriveShards(declarations.value, fleet.value)
    this.#shardsOf = of
    return this.#shards
  }

  shardsOfModel (model: string): Shard[] {
    return this.shards().filter((shard) => shard.model === model)
  }

  /**
   * The scheduler of a shard. One is set up on demand: an owner may know sooner
   * than this box that it is the scheduler now, and two of them do no harm.
   */
  scheduler (shardId: string): ShardScheduler | undefined {
    const shard = this.shards().find(({ id }) => id === shardId)
    return shard && this.#keeper(shard).scheduler
  }

  /** The scheduler of a shard, if it was set up. */
  existing (shardId: string): ShardScheduler | undefined {
    return this.#keepers.get(shardId)?.scheduler
  }

  /** Takes up and lays down shards. Called after every change of declarations, fleet or members. */
  reconcile (): void {
    const { view } = this.#opts
    const shards = this.shards()
    const members = view.takingWork()
    shards.forEach((shard) => {
      const mine = schedulerOf(shard, members)?.incarnation === view.self.incarnation
      if (mine) this.#keeper(shard).right.take()
      else this.#keepers.get(shard.id)?.right.giveUp()
      this.#keepers.get(shard.id)?.scheduler.update(shard)
    })
    const ids = new Set(shards.map(({ id }) => id))
    this.#keepers.forEach((keeper, id) => {
      if (!ids.has(id) || (!keeper.right.taken && keeper.scheduler.idle)) this.#drop(id, keeper)
    })
  }

  releaseOwner (incarnation: string): void {
    this.#keepers.forEach(({ scheduler }) => scheduler.releaseOwner(incarnation))
  }

  /** How long ago the engine reported that has been silent longest, of those that are scheduled here. */
  oldestReportAgeMs (): number | undefined {
    const times = [...this.#keepers.values()].map(({ scheduler }) => scheduler.ledger.oldestReportAtMs()).filter((atMs) => atMs !== undefined)
    return times.length > 0 ? this.#opts.clock.nowMs() - Math.min(...times) : undefined
  }

  describe () {
    return [...this.#keepers.values()].map((keeper) => keeper.describe())
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#keepers.values()].map((keeper) => keeper.stop()))
  }

  #keeper (shard: Shard): ShardKeeper {
    const known = this.#keepers.get(shard.id)
    if (known) return known
    const keeper = this.#createKeeper(shard)
    this.#keepers.set(shard.id, keeper)
    keeper.start()
    this.#opts.log.info(LogEvent.SchedulerTaken, { shard: shard.id })
    return keeper
  }

  #drop (id: string, keeper: ShardKeeper): void {
    this.#keepers.delete(id)
    void keeper.stop()
    this.#opts.log.info(LogEvent.SchedulerLeft, { shard: id })
  }

  #createKeeper (shard: Shard): ShardKeeper {
    const { clock, engines, declarations, settings, lastContactMs, pauses, failures, log, metrics } = this.#opts
    const { reportPeriodMs, orderRightMs } = settings.scheduling
    const scheduler = this.#createScheduler(shard, (engine) => { void keeper.checkReachable(engine) })
    const keeper: ShardKeeper = new ShardKeeper({
      clock,
      engines,
      scheduler,
      sweeper: this.#createSweeper(scheduler),
      right: new OrderRight({ clock, lifeMs: orderRightMs, lastContactMs, pauses }),
      configuration: () => declarations.value,
      reportPeriodMs,
      onTaskError: (thrown) => failures.noteTask('shardKeeper', thrown),
      roles: settings.scheduling.rolesFollowLoad ? this.#roleOptions(shard) : undefined,
      onOrder: ({ engine, order }, outcome) => {
        log.info(LogEvent.OrderSent, { engine, order: order.kind, fence: order.fence, outcome })
        metrics.count('reelspan_orders_total', { outcome })
      },
    })
    return keeper
  }

  #roleOptions (shard: Shard): ShardKeeperOptions['roles'] {
    const { settings, listOrder, log } = this.#opts
    return {
      holder: settings.box.name,
      listOrder,
      onPlan: (plan, load) => log.info(LogEvent.RolesPlanned, { shard: shard.id, ...rolePlanFields(plan, load) }),
    }
  }

  #createScheduler (shard: Shard, onUnreachable: (engineName: string) => void): ShardScheduler {
    const { clock, declarations, limitPerSecond, settings, failures, log } = this.#opts
    const { reportPeriodMs, prefixIndex } = settings.scheduling
    return new ShardScheduler({
      clock,
      shard,
      route: () => declarations.value.routeOfModel(shard.model)?.spec,
      index: createPrefixIndex(prefixIndex),
      reportLifeMs: reportPeriodMs * REPORT_LIFE_PERIODS,
      limitPerSecond,
      onUnreachable,
      onSuspected: (upstream, forMs, failureShare) => log.warn(LogEvent.UpstreamSuspected, { upstream, shard: shard.id, forMs, failureShare: Number(failureShare.toFixed(2)) }),
      onTrusted: (upstream) => log.info(LogEvent.UpstreamTrusted, { upstream, shard: shard.id }),
      onAdmission: (attempt, inputs, decision) => log.info(LogEvent.AdmissionDecided, { attempt, shard: shard.id, ...admissionFields(inputs, decision) }),
      onTaskError: (thrown) => failures.noteTask('shardScheduler', thrown),
    })
  }

  #createSweeper (scheduler: ShardScheduler): HoldSweeper {
    const { clock, link, engines, settings, isGone, vouchHere, log, metrics } = this.#opts
    const { reportPeriodMs } = settings.scheduling
    return new HoldSweeper({
      clock,
      link,
      engines,
      isGone,
      vouchHere,
      isAccounted: (label: HoldLabel) => scheduler.ledger.isCurrent(label, clock.nowMs()),
      vouchTimeoutMs: reportPeriodMs,
      releaseTimeoutMs: reportPeriodMs,
      onRelease: (engine, hold, reason) => {
        scheduler.release(hold.label)
        log.info(LogEvent.HoldReleased, { engine, kind: hold.kind, kvBytes: hold.kvBytes, reason })
        metrics.count('reelspan_holds_released_total', { reason })
      },
    })
  }
}

/** What a decision to keep or refuse a waiting request was made from. */
function admissionFields (inputs: AdmissionInputs, { outcome, estimateMs, errorMs }: AdmissionDecision): LogFields {
  const { aheadInTime, aheadLate, aheadDue, msPerPlace, msPerArrival, inTimeLeftMs, usefulLeftMs, returned, promised, kept } = inputs
  return {
    outcome,
    estimateMs: Number.isFinite(estimateMs) ? Math.round(estimateMs) : undefined,
    errorMs: Math.round(errorMs),
    aheadInTime,
    aheadLate,
    aheadDue,
    msPerPlace: Math.round(msPerPlace),
    msPerArrival: msPerArrival && Math.round(msPerArrival),
    inTimeLeftMs: Math.round(inTimeLeftMs),
    usefulLeftMs: Math.round(usefulLeftMs),
    returned,
    promised,
    kept,
  }
}

/** Which roles the engines of a shard should have, and what that was planned from. */
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
