import { type RouteSpec } from '@reelspan/config.resources'
import { type Clock, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type EngineOutcome, type HoldLabel, isOwnPrefill, type MessageOf, type MessageType, type PlacementAnswer, PlacementOutcome, type PlacementPlan, type PlacementReport, type ReserveRequest, UpstreamOutcome } from '@reelspan/core.messages'
import { type LedgerEntry, ShardLedger } from '@reelspan/scheduling.ledger'
import { type PrefixIndex, type RemovalPage } from '@reelspan/scheduling.prefix-index'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport } from '@reelspan/upstream.client'
import { UpstreamHealth } from '@reelspan/upstream.health'
import { ClientShares } from '@reelspan/scheduling.client-shares'
import { type AdmissionDecision, type AdmissionInputs, AdmissionOutcome } from './decideAdmission.js'
import { decideQueue, type QueueDecision } from './decideQueue.js'
import { describeEngines } from './describeEngines.js'
import { decideRepeat, RepeatOutcome, returnKeyOf } from './earlyRetry.js'
import { EngineLimits } from './engineLimits.js'
import { DISPATCH_LOOKAHEAD_MS, PlacementChooser } from './placementChooser.js'
import { type PlacementEstimate, PlacementEstimator } from './placementEstimator.js'
import { type ShardLoadEstimate, PlacementObservations } from './placementObservations.js'
import { PlacementRate } from './placementRate.js'
import { QueueForecast } from './queueForecast.js'
import { RefusalBuilder } from './refusalBuilder.js'
import { PROMISE_DUE_SHARE, RetrySchedule } from './retrySchedule.js'
import { ShardForecast } from './shardForecast.js'
import { WaitingQueue, type WaitingRequest } from './waitingQueue.js'

export interface ShardSchedulerOptions {
  clock: Clock
  shard: Shard
  /** The route of the shard's model, for client weights and shares. */
  route: () => RouteSpec | undefined
  index: PrefixIndex
  maxReportAgeMs: number
  /** Requests per second that an engine accepts; undefined if it advertises no limit. */
  limitPerSecond?: (engine: string) => number | undefined
  /** Called when an owner could not reach an engine, so that the engine is probed. */
  onUnreachable?: (engine: string) => void
  /** Called when an engine is avoided for a while because owners reported failures. */
  onSuspected?: (engine: string, forMs: number, failureShare: number) => void
  onTrusted?: (engine: string) => void
  /** Called when the admission decision for a waiting request is made or changes. */
  onAdmission?: (requestId: string, inputs: AdmissionInputs, decision: AdmissionDecision) => void
  /** Called when a request that waited is placed: how much later its first token is expected than its first admission decision expected. */
  onForecastError?: (errorMs: number) => void
  /** Called when a retry that arrived before its retry delay has passed is refused without being queued. */
  onEarlyRetry?: () => void
  /** Called when a task ends with an unexpected error. */
  onTaskError?: TaskErrorListener
}

export type AdoptedReservation = MessageOf<MessageType.AdoptReservations>['reservations'][number]

/** An owner must start the prefill within this time after it gets a plan. */
const START_WITHIN_MS = 300
/** A reservation expires this long after its request's deadline. */
const RESERVATION_GRACE_MS = 1000
const MAX_WAITING = 2000
/** Waiting requests are checked again at least this often. */
const MAX_CYCLE_INTERVAL_MS = 10
/** Engines report and callers reconnect within about this time, so little changes for a retry before it. */
const MIN_RETRY_DELAY_MS = 500
const MAX_RETRY_DELAY_MS = 30_000

/** Places requests on one shard. Requests wait here until an engine can start them at once, in the order that uses the engines best; requests that would be late are refused. */
export class ShardScheduler {
  readonly ledger: ShardLedger
  readonly #opts: ShardSchedulerOptions
  readonly #tasks: TaskGroup
  readonly #estimator: PlacementEstimator
  readonly #shares = new ClientShares()
  readonly #observations: PlacementObservations
  readonly #rate = new PlacementRate()
  readonly #chooser: PlacementChooser
  readonly #retrySchedule = new RetrySchedule({ minDelayMs: MIN_RETRY_DELAY_MS, maxDelayMs: MAX_RETRY_DELAY_MS })
  readonly #waiting = new WaitingQueue()
  readonly #forecast: QueueForecast
  readonly #slotForecast: ShardForecast
  readonly #refusals: RefusalBuilder
  readonly #health: UpstreamHealth
  readonly #limits: EngineLimits
  #nextCycle?: AbortController

  constructor (opts: ShardSchedulerOptions) {
    this.#opts = opts
    this.ledger = new ShardLedger(opts.shard, { maxReportAgeMs: opts.maxReportAgeMs })
    this.#observations = new PlacementObservations(this.ledger)
    const { lengths, pace, placesLimit } = this.#observations
    this.#health = new UpstreamHealth(opts)
    this.#limits = new EngineLimits({ clock: opts.clock, perSecond: opts.limitPerSecond })
    const isSuspect = (engine: string) => this.#health.isSuspect(engine)
    const limits = this.#limits
    this.#estimator = new PlacementEstimator({ ledger: this.ledger, index: opts.index, lengths, isSuspect, limits })
    this.#chooser = new PlacementChooser({ ledger: this.ledger, estimator: this.#estimator, shares: this.#shares, placesLimit, route: opts.route, isSuspect, limits })
    this.#forecast = new QueueForecast({ ledger: this.ledger, chooser: this.#chooser })
    this.#slotForecast = new ShardForecast({ ledger: this.ledger, chooser: this.#chooser, estimator: this.#estimator, lengths, pace, rate: this.#rate, waiting: () => this.#waiting.all() })
    this.#refusals = new RefusalBuilder({ forecast: this.#slotForecast, retrySchedule: this.#retrySchedule })
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  /** Whether no request is waiting and nothing is reserved. */
  get idle (): boolean {
    return this.#waiting.size === 0 && this.ledger.reservationCount === 0
  }

  update (shard: Shard): void {
    const before = this.ledger.allEngines()
    this.ledger.update(shard)
    const listed = new Set(this.ledger.allEngines().map(({ name }) => name))
    this.#health.retain(listed)
    this.#limits.retain(listed)
    before.filter(({ name }) => !listed.has(name)).forEach(({ name }) => this.#opts.index.removeEngine(name))
    this.#waiting.all().forEach((waiting) => { waiting.prefillCostsMs = [] })
    this.#runCycle()
  }

  async stop (): Promise<void> {
    this.#waiting.all().forEach((waiting) => this.#answer(waiting, { outcome: PlacementOutcome.Refused, reason: 'the scheduler is stopping', retryAfterMs: 0 }))
    await this.#tasks.stop()
  }

  /** Resolves when the request is placed, or as soon as it is known that it would be placed too late. */
  reserve (request: ReserveRequest): Promise<PlacementAnswer> {
    const nowMs = this.#opts.clock.nowMs()
    const retry = this.#retrySchedule.findDue(returnKeyOf(request), nowMs)
    const remainingMs = this.#retrySchedule.remainingMs(returnKeyOf(request), nowMs)
    const repeat = decideRepeat({ remainingMs, isAttemptWaiting: this.#waiting.hasAttemptOf(request), priority: request.priority, highestWaiting: this.#waiting.highestPriority })
    if (repeat === RepeatOutcome.Refuse) return Promise.resolve(this.#refuseEarly(request, remainingMs, nowMs))
    const firstArrivedAtMs = retry?.firstArrivedAtMs ?? nowMs
    if (this.#waiting.size >= MAX_WAITING) return Promise.resolve(this.#refusal({ request, firstArrivedAtMs }, 'too many requests are waiting'))
    if (!retry && !repeat) this.#recordArrival(nowMs)
    if (this.#waiting.size === 0) this.#rate.recordIdle(nowMs)
    const leftMs = request.ttftLeftMs - this.#observations.ttftErrorMs
    const usefulMs = Math.min(Math.max(leftMs, request.patienceMs ?? 0), request.deadlineMs)
    return new Promise((resolve) => {
      const waiting: WaitingRequest = {
        request,
        resolve,
        firstArrivedAtMs: repeat ? nowMs + usefulMs : firstArrivedAtMs,
        inTimeUntilMs: repeat ? nowMs : firstArrivedAtMs + leftMs,
        usefulUntilMs: nowMs + usefulMs,
        returned: retry !== undefined,
        promiseDueAtMs: retry?.promised ? nowMs + PROMISE_DUE_SHARE * usefulMs : undefined,
        handoverMs: this.#estimator.handoverMs(request),
        prefillCostsMs: [],
      }
      this.#waiting.add(waiting)
      this.#runCycle()
      if (repeat === RepeatOutcome.PlaceNow && this.#waiting.hasAttemptOf(request)) this.#answer(waiting, this.#refuseEarly(request, remainingMs, nowMs))
    })
  }

  /** Called when a request has ended or its caller has disconnected. */
  release (label: HoldLabel, report?: PlacementReport, outcomes: readonly EngineOutcome[] = []): void {
    this.#waiting.withdraw(label)
    outcomes.forEach(({ engine, outcome }) => this.#recordOutcome(engine, outcome))
    const entry = this.ledger.release(label)
    if (entry && report) this.#observations.recordCompletion(entry, report, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  /** Called when the owner reports the end of a prefill. */
  recordPrefillEnd (label: HoldLabel): void {
    this.ledger.recordPrefillEnd(label, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  /** Adds reservations that were made by the shard's previous scheduler. */
  adopt (reservations: readonly AdoptedReservation[]): void {
    const nowMs = this.#opts.clock.nowMs()
    reservations
      .filter(({ request }) => !this.ledger.has(request.label))
      .forEach(({ request, plan, ageMs, decoding, tokensDone }) => {
        const { spec } = this.ledger.shard
        const stepMs = spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * this.ledger.shard.decodePool.placesPerEngine
        const prefillEndMs = decoding ? nowMs : nowMs - ageMs + plan.expectedTtftMs
        this.ledger.reserve({
          label: request.label,
          maxTokens: request.maxTokens,
          tbtTargetMs: request.tbtTargetMs,
          prefillEngine: plan.prefillEngine,
          decodeEngine: plan.decodeEngine,
          kvBytes: plan.kvBytes,
          prefillCostMs: decoding ? 0 : Math.max(0, prefillEndMs - nowMs),
          importEndMs: prefillEndMs,
          latestEndMs: prefillEndMs + (request.maxTokens - tokensDone) * stepMs,
          expiresAtMs: nowMs - ageMs + request.deadlineMs + RESERVATION_GRACE_MS,
        }, nowMs)
      })
  }

  releaseOwner (ownerIncarnation: string): void {
    this.#waiting.withdrawOwner(ownerIncarnation)
    this.ledger.releaseOwner(ownerIncarnation)
    this.#runCycle()
  }

  recordReport (engine: string, report: EngineReport): void {
    this.ledger.recordReport(engine, report, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  markUnresponsive (engine: string): void {
    this.ledger.markUnresponsive(engine)
    this.#opts.index.removeEngine(engine)
    this.#runCycle()
  }

  recordRemovals (engine: string, page: RemovalPage): void {
    this.#opts.index.recordRemovals(engine, page, this.#opts.clock.nowMs())
    this.#invalidateCosts(engine)
  }

  /** The estimated load of the shard; undefined until enough requests were observed. */
  observedLoad (): ShardLoadEstimate | undefined {
    return this.#observations.observedLoad(this.#opts.clock.nowMs())
  }

  /** Describes the scheduler for the state dump. */
  describe () {
    const nowMs = this.#opts.clock.nowMs()
    return {
      shard: this.ledger.shard.id,
      waiting: this.#waiting.size,
      reservations: this.ledger.reservationCount,
      returnsBooked: this.#retrySchedule.size,
      ...this.#observations.describe(),
      prefixEntries: this.#opts.index.size,
      suspects: this.#health.suspects(),
      ...describeEngines(this.ledger, nowMs),
    }
  }

  /** Combines the outcomes of all owners, since each owner sees few answers of an engine. */
  #recordOutcome (engine: string, outcome: UpstreamOutcome): void {
    const pool = this.ledger.poolOf(engine)
    if (pool.length === 0) return
    this.#health.record(engine, outcome, pool)
    if (outcome === UpstreamOutcome.Unreachable) this.#opts.onUnreachable?.(engine)
  }

  #recordArrival (nowMs: number): void {
    this.#rate.recordArrival(nowMs)
    this.#observations.recordArrival(nowMs)
  }

  /** Places and refuses all requests that can be decided now, then schedules the next cycle. */
  #runCycle (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.ledger.expire(nowMs)
    this.#slotForecast.recordChange()
    if (this.#waiting.size === 0) return this.#rate.recordIdle(nowMs)
    this.#retrySchedule.expire(nowMs)
    const queuedPrefillMs = this.#forecast.queuedPrefillMs(this.#waiting.all(), nowMs)
    const next = () => this.#chooser.choose(this.#waiting.all(), queuedPrefillMs, nowMs)
    for (let choice = next(); choice; choice = next()) this.#place(choice.waiting, choice.estimate, nowMs)
    this.#decideWaiting(nowMs)
    if (this.#waiting.size === 0) this.#rate.recordIdle(nowMs)
    this.#scheduleNextCycle(nowMs)
  }

  /** Decides again for each waiting request whether it is kept. */
  #decideWaiting (nowMs: number): void {
    if (this.#waiting.size === 0) return
    const engines = this.#chooser.readyEngines(nowMs)
    const decisions = decideQueue(this.#waiting.all(), {
      nowMs,
      msPerPlace: this.#rate.msPerPlace(nowMs),
      msPerArrival: this.#rate.msPerArrival(nowMs),
      rateError: this.#rate.error(nowMs),
      minTtftMs: (waiting) => this.#forecast.minTtftMs(waiting, engines, nowMs),
      forecastOf: this.#slotForecast.isKnown(nowMs)
        ? (waiting) => ({ forecast: this.#slotForecast.forRequest(waiting.request, nowMs), handoverMs: this.#forecast.fromSlotMs(waiting, engines, nowMs), newcomerError: this.#slotForecast.correction.error })
        : undefined,
      isOverShare: (client) => this.#shares.isOverShare(client, nowMs),
      promisesDueAtMs: this.#retrySchedule.promisesDueAtMs(nowMs),
    })
    decisions.forEach((decided) => this.#applyDecision(decided, nowMs))
  }

  #applyDecision ({ waiting, inputs, decision }: QueueDecision, nowMs: number): void {
    this.#slotForecast.recordDecision(waiting, decision, nowMs)
    if (waiting.outcome !== decision.outcome) this.#opts.onAdmission?.(waiting.request.label.requestId, inputs, decision)
    waiting.outcome = decision.outcome
    if (decision.outcome === AdmissionOutcome.Refused) this.#answer(waiting, this.#refusal(waiting, decision.reason))
  }

  #place (waiting: WaitingRequest, estimate: PlacementEstimate, nowMs: number): void {
    const { request } = waiting
    const { prefill, decode } = estimate
    const entry: LedgerEntry = {
      label: request.label,
      maxTokens: request.maxTokens,
      tbtTargetMs: request.tbtTargetMs,
      prefillEngine: prefill.name,
      decodeEngine: decode.name,
      kvBytes: estimate.kvBytes,
      prefillCostMs: estimate.costMs,
      importEndMs: estimate.importEndMs,
      latestEndMs: estimate.latestEndMs,
      expiresAtMs: nowMs + request.deadlineMs + RESERVATION_GRACE_MS,
    }
    this.ledger.reserve(entry, nowMs)
    this.#limits.recordPlacement([prefill.name, decode.name])
    if (!isOwnPrefill(entry)) {
      this.#opts.index.recordSent(prefill.name, request.prefixes, nowMs)
      this.#invalidateCosts(prefill.name)
    }
    const weight = this.#opts.route()?.clientWeights[request.client] ?? 1
    this.#shares.charge(request.client, estimate.costMs, weight, nowMs)
    this.#retrySchedule.remove(returnKeyOf(request))
    const errorMs = this.#slotForecast.recordPlacement(waiting, estimate.firstTokenMs)
    if (errorMs !== undefined) this.#opts.onForecastError?.(errorMs)
    this.#rate.recordPlacement(nowMs)
    this.#slotForecast.recordChange()
    this.#observations.recordPlacement({
      prefillMs: isOwnPrefill(entry) ? this.#estimator.prefillCostMs(request, prefill.name, nowMs) : estimate.costMs,
      typicalAnswerMs: this.#estimator.typicalAnswerMs(request),
      kvBytes: estimate.kvBytes,
    })
    this.#answer(waiting, planOf(estimate, nowMs))
  }

  /** Drops cached prefill durations for an engine whose cached prefixes changed. */
  #invalidateCosts (engine: string): void {
    const poolIndex = this.ledger.prefillEngines().findIndex(({ name }) => name === engine)
    this.#waiting.all().forEach(({ prefillCostsMs }) => { prefillCostsMs[poolIndex] = undefined })
  }

  #refusal (waiting: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string): PlacementAnswer {
    return this.#refusals.refuse(waiting, reason, { waitingCount: this.#waiting.size, nowMs: this.#opts.clock.nowMs() })
  }

  /** Answers a retry that arrived too early. Its retry time stays. */
  #refuseEarly (request: ReserveRequest, remainingMs = 0, nowMs: number): PlacementAnswer {
    this.#opts.onEarlyRetry?.()
    return this.#refusals.refuseEarly(request, remainingMs, { waitingCount: this.#waiting.size, nowMs })
  }

  #answer (waiting: WaitingRequest, answer: PlacementAnswer): void {
    this.#waiting.remove(waiting)
    waiting.resolve(answer)
  }

  #scheduleNextCycle (nowMs: number): void {
    this.#nextCycle?.abort(STOPPED)
    if (this.#waiting.size === 0 || this.#tasks.stopped) return
    const nextCycle = new AbortController()
    this.#nextCycle = nextCycle
    const dispatchesMs = this.ledger.prefillEngines().map(({ account }) => account.freeAtMs(nowMs) - DISPATCH_LOOKAHEAD_MS)
    const nextMs = Math.min(...dispatchesMs.filter((atMs) => atMs > nowMs), nowMs + MAX_CYCLE_INTERVAL_MS)
    this.#tasks.run(async () => {
      await this.#opts.clock.sleep(Math.max(1, nextMs - nowMs), { signal: nextCycle.signal })
      if (!nextCycle.signal.aborted && !this.#tasks.stopped) this.#runCycle()
    })
  }
}

function planOf (estimate: PlacementEstimate, nowMs: number): PlacementPlan {
  return {
    outcome: PlacementOutcome.Placed,
    prefillEngine: estimate.prefill.name,
    prefillAddress: estimate.prefill.address,
    decodeEngine: estimate.decode.name,
    decodeAddress: estimate.decode.address,
    kvBytes: estimate.kvBytes,
    startInMs: 0,
    startWithinMs: START_WITHIN_MS,
    expectedTtftMs: Math.max(0, estimate.firstTokenMs - nowMs),
  }
}
