import { type RouteSpec } from '@reelspan/config.resources'
import { type Clock, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type EngineOutcome, type HoldLabel, isOwnPrefill, type MessageOf, type MessageType, type PlacementAnswer, PlacementOutcome, type PlacementPlan, type PlacementReport, type ReserveRequest, UpstreamOutcome } from '@reelspan/core.messages'
import { type LedgerEntry, ShardLedger } from '@reelspan/scheduling.ledger'
import { type PrefixIndex, type RemovalPage } from '@reelspan/scheduling.prefix-index'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport } from '@reelspan/upstream.client'
import { UpstreamHealth } from '@reelspan/upstream.health'
import { ClientShares } from './clientShares.js'
import { type AdmissionDecision, type AdmissionInputs, AdmissionOutcome } from './decideAdmission.js'
import { decideQueue, type QueueDecision } from './decideQueue.js'
import { describeEngines } from './describeEngines.js'
import { EngineLimits } from './engineLimits.js'
import { DISPATCH_LOOKAHEAD_MS, PlacementChooser } from './placementChooser.js'
import { type PlacementEstimate, PlacementEstimator } from './placementEstimator.js'
import { type ShardLoadEstimate, PlacementObservations } from './placementObservations.js'
import { PlacementRate } from './placementRate.js'
import { QueueForecast } from './queueForecast.js'
import { RefusalBuilder } from './refusalBuilder.js'
import { RetrySchedule } from './retrySchedule.js'
import { WaitingQueue, type WaitingRequest } from './waitingQueue.js'

export interface ShardSchedulerOptions {
  clock: Clock
  shard: Shard
  /** The route of the shard's model, for client weights and shares. */
  route: () => RouteSpec | undefined
  index: PrefixIndex
  reportLifeMs: number
  /** Requests a second that an engine takes; nothing where it names no limit. */
  limitPerSecond?: (engine: string) => number | undefined
  /** An owner did not reach an engine: it is time to look whether it lives. */
  onUnreachable?: (engine: string) => void
  /** An engine is left aside for a while, since owners say that it fails. */
  onSuspected?: (engine: string, forMs: number, failureShare: number) => void
  onTrusted?: (engine: string) => void
  /** It was decided whether a request that is not placed at once is kept waiting, or the decision changed. */
  onAdmission?: (requestId: string, inputs: AdmissionInputs, decision: AdmissionDecision) => void
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

export type AdoptedReservation = MessageOf<MessageType.AdoptReservations>['reservations'][number]

/** An owner that gets a plan must start its prefill within this time. */
const START_WITHIN_MS = 300
/** A reservation outlives its request's deadline by this much. */
const RESERVATION_GRACE_MS = 1000
const MAX_WAITING = 2000
/** Waiting requests are looked at again at least this often. */
const MAX_CYCLE_INTERVAL_MS = 10
/** Part of the time in which it is of use that a promised request waits for a place that nobody in time needs. */
const PROMISE_DUE_SHARE = 0.25
/** Engines report, and callers connect anew, within about this time: sooner, little has changed. */
const MIN_RETRY_DELAY_MS = 500
const MAX_RETRY_DELAY_MS = 30_000

/** Places requests on one shard: holds them until an engine can begin at once, best use first, and refuses what would be late. */
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
  readonly #refusals: RefusalBuilder
  readonly #health: UpstreamHealth
  readonly #limits: EngineLimits
  #nextCycle?: AbortController

  constructor (opts: ShardSchedulerOptions) {
    this.#opts = opts
    this.ledger = new ShardLedger(opts.shard, { reportLifeMs: opts.reportLifeMs })
    this.#observations = new PlacementObservations(this.ledger)
    const { lengths, placesLimit } = this.#observations
    this.#health = new UpstreamHealth(opts)
    this.#limits = new EngineLimits({ clock: opts.clock, perSecond: opts.limitPerSecond })
    const isSuspect = (engine: string) => this.#health.isSuspect(engine)
    const limits = this.#limits
    this.#estimator = new PlacementEstimator({ ledger: this.ledger, index: opts.index, lengths, isSuspect, limits })
    this.#chooser = new PlacementChooser({ ledger: this.ledger, estimator: this.#estimator, shares: this.#shares, placesLimit, route: opts.route, isSuspect, limits })
    this.#forecast = new QueueForecast({ ledger: this.ledger, chooser: this.#chooser })
    this.#refusals = new RefusalBuilder({ chooser: this.#chooser, estimator: this.#estimator, rate: this.#rate, retrySchedule: this.#retrySchedule })
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  /** Nothing waits and nothing is reserved. */
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
    this.#waiting.all().forEach((waiting) => this.#answer(waiting, { outcome: PlacementOutcome.Refused, reason: 'the scheduler stops', retryAfterMs: 0 }))
    await this.#tasks.stop()
  }

  /** Waits until the request can be placed, or until it is clear that this will be too late. */
  reserve (request: ReserveRequest): Promise<PlacementAnswer> {
    const nowMs = this.#opts.clock.nowMs()
    const retry = this.#retrySchedule.findDue(request.returnId, nowMs)
    const firstArrivedAtMs = retry?.firstArrivedAtMs ?? nowMs
    if (this.#waiting.size >= MAX_WAITING) return Promise.resolve(this.#refusal({ request, firstArrivedAtMs }, 'too many requests wait'))
    if (!retry) this.#recordArrival(nowMs)
    if (this.#waiting.size === 0) this.#rate.recordIdle(nowMs)
    const leftMs = request.ttftLeftMs - this.#observations.ttftErrorMs
    const usefulMs = Math.min(Math.max(leftMs, request.patienceMs ?? 0), request.deadlineMs)
    return new Promise((resolve) => {
      this.#waiting.add({
        request,
        resolve,
        firstArrivedAtMs,
        inTimeUntilMs: firstArrivedAtMs + leftMs,
        usefulUntilMs: nowMs + usefulMs,
        returned: retry !== undefined,
        promiseDueAtMs: retry?.promised ? nowMs + PROMISE_DUE_SHARE * usefulMs : undefined,
        handoverMs: this.#estimator.handoverMs(request),
        prefillCostsMs: [],
      })
      this.#runCycle()
    })
  }

  /** The request is over, or its caller has gone. */
  release (label: HoldLabel, report?: PlacementReport, outcomes: readonly EngineOutcome[] = []): void {
    this.#waiting.withdraw(label)
    outcomes.forEach(({ engine, outcome }) => this.#recordOutcome(engine, outcome))
    const entry = this.ledger.release(label)
    if (entry && report) this.#observations.recordCompletion(entry, report, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  /** A prefill has ended, as its owner says. */
  prefilled (label: HoldLabel): void {
    this.ledger.recordPrefillEnd(label, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  /** Takes in reservations that another scheduler made. */
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

  noteReport (engine: string, report: EngineReport): void {
    this.ledger.recordReport(engine, report, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  noteSilent (engine: string): void {
    this.ledger.markUnresponsive(engine)
    this.#opts.index.removeEngine(engine)
    this.#runCycle()
  }

  noteRemovals (engine: string, page: RemovalPage): void {
    this.#opts.index.recordRemovals(engine, page, this.#opts.clock.nowMs())
    this.#invalidateCosts(engine)
  }

  /** What requests take of the engines; nothing until enough were seen. */
  observedLoad (): ShardLoadEstimate | undefined {
    return this.#observations.observedLoad(this.#opts.clock.nowMs())
  }

  /** State for the dump. */
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

  /** Owners see few answers of each engine; here they come together. */
  #recordOutcome (engine: string, outcome: UpstreamOutcome): void {
    const pool = this.ledger.poolOf(engine)
    if (pool.length === 0) return
    this.#health.note(engine, outcome, pool)
    if (outcome === UpstreamOutcome.Unreachable) this.#opts.onUnreachable?.(engine)
  }

  #recordArrival (nowMs: number): void {
    this.#rate.recordArrival(nowMs)
    this.#observations.recordArrival(nowMs)
  }

  /** Places and refuses whatever can be decided now, then sleeps until the next moment that could change that. */
  #runCycle (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.ledger.expire(nowMs)
    if (this.#waiting.size === 0) return this.#rate.recordIdle(nowMs)
    this.#retrySchedule.expire(nowMs)
    const queuedPrefillMs = this.#forecast.queuedPrefillMs(this.#waiting.all(), nowMs)
    const next = () => this.#chooser.choose(this.#waiting.all(), queuedPrefillMs, nowMs)
    for (let choice = next(); choice; choice = next()) this.#place(choice.waiting, choice.estimate, nowMs)
    this.#decideWaiting(nowMs)
    if (this.#waiting.size === 0) this.#rate.recordIdle(nowMs)
    this.#scheduleNextCycle(nowMs)
  }

  /** Decides anew of each request that waits whether it is kept. */
  #decideWaiting (nowMs: number): void {
    if (this.#waiting.size === 0) return
    const engines = this.#chooser.readyEngines(nowMs)
    const decisions = decideQueue(this.#waiting.all(), {
      nowMs,
      msPerPlace: this.#rate.msPerPlace(nowMs),
      msPerArrival: this.#rate.msPerArrival(nowMs),
      rateError: this.#rate.error(nowMs),
      minTtftMs: (waiting) => this.#forecast.minTtftMs(waiting, engines, nowMs),
      isOverShare: (client) => this.#shares.isOverShare(client, nowMs),
      promisesDueAtMs: this.#retrySchedule.promisesDueAtMs(nowMs),
    })
    decisions.forEach((decided) => this.#applyDecision(decided))
  }

  #applyDecision ({ waiting, inputs, decision }: QueueDecision): void {
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
      this.#opts.index.noteSent(prefill.name, request.prefixes, nowMs)
      this.#invalidateCosts(prefill.name)
    }
    const weight = this.#opts.route()?.clientWeights[request.client] ?? 1
    this.#shares.charge(request.client, estimate.costMs, weight, nowMs)
    this.#retrySchedule.remove(request.returnId)
    this.#rate.recordPlacement(nowMs)
    this.#observations.recordPlacement({
      prefillMs: isOwnPrefill(entry) ? this.#estimator.prefillCostMs(request, prefill.name, nowMs) : estimate.costMs,
      typicalAnswerMs: this.#estimator.typicalAnswerMs(request),
      kvBytes: estimate.kvBytes,
    })
    this.#answer(waiting, planOf(estimate, nowMs))
  }

  /** What an engine has cached has changed. */
  #invalidateCosts (engine: string): void {
    const poolIndex = this.ledger.prefillEngines().findIndex(({ name }) => name === engine)
    this.#waiting.all().forEach(({ prefillCostsMs }) => { prefillCostsMs[poolIndex] = undefined })
  }

  #refusal (waiting: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string): PlacementAnswer {
    return this.#refusals.refuse(waiting, reason, { waitingCount: this.#waiting.size, nowMs: this.#opts.clock.nowMs() })
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
