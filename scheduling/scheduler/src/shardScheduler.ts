import { type AccountSpec, type Named } from '@reelspan/config.resources'
import { type ReelspanError } from '@reelspan/core.error'
import { type EngineOutcome, type HoldLabel, type PlacementAnswer, PlacementOutcome, type PlacementReport, type ReserveRequest } from '@reelspan/core.messages'
import { ShardLedger } from '@reelspan/scheduling.ledger'
import { type RemovalPage } from '@reelspan/scheduling.prefix-index'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport } from '@reelspan/upstream.client'
import { AccountWeights } from './accountWeights.js'
import { CycleTimer } from './cycleTimer.js'
import { AdmissionOutcome } from './decideAdmission.js'
import { type QueueDecision } from './decideQueue.js'
import { describeEngines } from './describeEngines.js'
import { decideRepeat, RepeatOutcome } from './earlyRetry.js'
import { EngineLimits } from './engineLimits.js'
import { EngineOutcomes } from './engineOutcomes.js'
import { DISPATCH_LOOKAHEAD_MS, PlacementChooser } from './placementChooser.js'
import { type AdoptedReservation, entryOfAdopted, planOfEstimate } from './placementEntries.js'
import { type PlacementEstimate, PlacementEstimator } from './placementEstimator.js'
import { type ShardLoadEstimate, PlacementObservations } from './placementObservations.js'
import { PlacementRecorder } from './placementRecorder.js'
import { QueueAdmission } from './queueAdmission.js'
import { QueueShares } from './queueShares.js'
import { PROMISE_DUE_SHARE } from './retrySchedule.js'
import { type ShardSchedulerOptions, type ShareUse } from './shardSchedulerOptions.js'
import { WaitingQueue, type WaitingRequest } from './waitingQueue.js'

const NO_ACCOUNTS: readonly Named<AccountSpec>[] = []
const MAX_WAITING = 2000
const TOO_MANY_WAITING = 'too many requests are waiting'
/** Waiting requests are checked again at least this often. */
const MAX_CYCLE_INTERVAL_MS = 10

/** An engine that has not answered a request for its report. */
export interface SilentEngine {
  name: string
  /** When the request was sent. */
  sinceMs: number
}

/** Places requests on one shard. Requests wait here until an engine can start them at once, in the order that uses the engines best; requests that would be late are refused. */
export class ShardScheduler {
  readonly ledger: ShardLedger
  readonly #opts: ShardSchedulerOptions
  readonly #estimator: PlacementEstimator
  readonly #shares: QueueShares
  readonly #observations: PlacementObservations
  readonly #chooser: PlacementChooser
  readonly #waiting = new WaitingQueue()
  readonly #admission: QueueAdmission
  readonly #recorder: PlacementRecorder
  readonly #engineOutcomes: EngineOutcomes
  readonly #limits: EngineLimits
  readonly #timer: CycleTimer

  constructor (opts: ShardSchedulerOptions) {
    this.#opts = opts
    this.ledger = new ShardLedger(opts.shard, { maxReportAgeMs: opts.maxReportAgeMs, onReleased: (label) => this.#shares.recordRelease(label, opts.clock.nowMs()) })
    this.#observations = new PlacementObservations(this.ledger)
    const { lengths, pace, ends, arrivals, placesLimit } = this.#observations
    this.#engineOutcomes = new EngineOutcomes({ ...opts, ledger: this.ledger })
    this.#limits = new EngineLimits({ clock: opts.clock, perSecond: opts.limitPerSecond })
    const isSuspect = (engine: string) => this.#engineOutcomes.isSuspect(engine)
    const limits = this.#limits
    this.#estimator = new PlacementEstimator({ ledger: this.ledger, index: opts.index, lengths, ends, arrivals, isSuspect, limits })
    const weights = new AccountWeights({ route: opts.route, accounts: opts.accounts ?? (() => NO_ACCOUNTS) })
    this.#shares = new QueueShares({ ledger: this.ledger, estimator: this.#estimator, observations: this.#observations, weights })
    this.#chooser = new PlacementChooser({ ledger: this.ledger, estimator: this.#estimator, shares: this.#shares, placesLimit, route: opts.route, isSuspect, limits })
    this.#admission = new QueueAdmission({ ledger: this.ledger, chooser: this.#chooser, estimator: this.#estimator, shares: this.#shares, lengths, pace, waiting: () => this.#waiting.all() })
    this.#recorder = new PlacementRecorder({
      ledger: this.ledger,
      estimator: this.#estimator,
      index: opts.index,
      limits,
      observations: this.#observations,
      shares: this.#shares,
      onPrefixesChanged: (engine) => this.#invalidateCosts(engine),
    })
    this.#timer = new CycleTimer({ clock: opts.clock, runCycle: () => this.#runCycle(), onTaskError: opts.onTaskError })
  }

  /** Whether any engine has reported, without which nothing can be placed. */
  get hasReports (): boolean {
    return this.ledger.allEngines().some(({ report }) => report !== undefined)
  }

  /** Whether no request is waiting and nothing is reserved. */
  get idle (): boolean {
    return this.#waiting.size === 0 && this.ledger.reservationCount === 0
  }

  update (shard: Shard): void {
    const before = this.ledger.allEngines()
    this.ledger.update(shard)
    const listed = new Set(this.ledger.allEngines().map(({ name }) => name))
    this.#engineOutcomes.retain(listed)
    this.#limits.retain(listed)
    this.#observations.retain(listed)
    before.filter(({ name }) => !listed.has(name)).forEach(({ name }) => this.#opts.index.removeEngine(name))
    this.#waiting.all().forEach((waiting) => { waiting.prefillCostsMs = [] })
    this.#runCycle()
  }

  async stop (): Promise<void> {
    this.#waiting.all().forEach((waiting) => this.#answer(waiting, { outcome: PlacementOutcome.Refused, reason: 'the scheduler is stopping', retryAfterMs: 0 }))
    await this.#timer.stop()
  }

  /** Resolves when the request is placed, or as soon as it is known that it would be placed too late. */
  reserve (request: ReserveRequest): Promise<PlacementAnswer> {
    const nowMs = this.#opts.clock.nowMs()
    const remainingMs = this.#admission.remainingRetryMs(request, nowMs)
    const repeat = decideRepeat({ remainingMs, isAttemptWaiting: this.#waiting.hasAttemptOf(request), priority: request.priority, highestWaiting: this.#waiting.highestPriority })
    if (repeat === RepeatOutcome.Refuse) return Promise.resolve(this.#refuseEarly(request, remainingMs, nowMs))
    // A promise holds for one attempt.
    const retry = repeat ? undefined : this.#admission.findRetry(request, nowMs)
    const firstArrivedAtMs = retry?.firstArrivedAtMs ?? nowMs
    if (this.#waiting.size >= MAX_WAITING && (repeat || !this.#displaceFor(request, nowMs))) {
      this.#opts.onAnswered?.(PlacementOutcome.Refused, { client: request.client, overShare: this.#shares.ofPriority(request.priority).wouldExceed(request.client, nowMs) })
      return Promise.resolve(this.#refusal({ request, firstArrivedAtMs }, TOO_MANY_WAITING))
    }
    if (!retry && !repeat) this.#recordArrival(nowMs)
    if (this.#waiting.size === 0) this.#admission.recordIdle(nowMs)
    const leftMs = request.ttftLeftMs - this.#observations.ttftErrorMs
    const usefulMs = Math.min(Math.max(leftMs, request.patienceMs ?? 0), request.deadlineMs)
    return new Promise((resolve, reject) => {
      const waiting: WaitingRequest = {
        request,
        resolve,
        reject,
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

  /** Gives up all waiting requests, so that their owners place them in another way. */
  rejectWaiting (error: ReelspanError): void {
    this.#waiting.all().forEach((waiting) => {
      this.#waiting.remove(waiting)
      waiting.reject(error)
    })
  }

  /** Called when a request has ended or its caller has disconnected. */
  release (label: HoldLabel, report?: PlacementReport, outcomes: readonly EngineOutcome[] = []): void {
    this.#waiting.withdraw(label)
    this.#engineOutcomes.record(outcomes, label.ownerAddress)
    const fullEngine = this.#engineOutcomes.fullEngine(outcomes)
    const entry = this.ledger.release(label)
    if (fullEngine !== undefined) this.#engineOutcomes.limit(fullEngine)
    if (entry && report) this.#observations.recordCompletion(entry, report, this.#opts.clock.nowMs())
    this.#runCycle()
  }

  /** Called when an owner reports outcomes at the engines of a placement that it has not released. */
  recordOutcomes (label: HoldLabel, outcomes: readonly EngineOutcome[] = []): void {
    this.#engineOutcomes.record(outcomes, label.ownerAddress)
    this.#runCycle()
  }

  /** Called when the owner reports the end of a prefill. */
  recordPrefillEnd (label: HoldLabel): void {
    const nowMs = this.#opts.clock.nowMs()
    const entry = this.ledger.recordPrefillEnd(label, nowMs)
    if (entry?.prefill) this.#observations.arrivals.observe(entry.prefill, nowMs)
    this.#runCycle()
  }

  /** Adds reservations that were made by the shard's previous scheduler. */
  adopt (reservations: readonly AdoptedReservation[]): void {
    const nowMs = this.#opts.clock.nowMs()
    reservations
      .filter(({ request }) => !this.ledger.has(request.label))
      .forEach((adopted) => {
        const { request, ageMs } = adopted
        const entry = entryOfAdopted(this.ledger.shard, adopted, nowMs)
        this.ledger.reserve(entry, nowMs)
        this.#shares.recordReservation(request, entry, { ageMs }, nowMs)
      })
  }

  releaseOwner (ownerIncarnation: string): void {
    this.#waiting.withdrawOwner(ownerIncarnation)
    this.ledger.releaseOwner(ownerIncarnation)
    this.#runCycle()
  }

  recordReport (engine: string, report: EngineReport, askedAtMs?: number): void {
    this.#engineOutcomes.recordReport(engine)
    this.ledger.recordReport(engine, report, this.#opts.clock.nowMs(), askedAtMs)
    this.#runCycle()
  }

  /** Called when it cannot be checked whether an engine that an owner could not reach has failed. */
  ignoreUnreachable (engine: string): void {
    this.#engineOutcomes.ignoreUnreachable(engine)
  }

  /** Called when an engine cannot be reached. */
  markUnresponsive (engine: string): void {
    this.#recordNoReport(engine, { hadReport: this.ledger.markUnresponsive(engine), silent: false })
    this.#runCycle()
  }

  /** Called when engines have not answered requests for their reports. Those that were asked at the same time are passed together, since a pause of their pool is no reason to refuse. */
  markSilent (engines: readonly SilentEngine[]): void {
    const hadReport = engines.map(({ name, sinceMs }) => this.ledger.markSilent(name, sinceMs))
    engines.forEach(({ name }, i) => this.#recordNoReport(name, { hadReport: hadReport[i], silent: true }))
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
      returnsBooked: this.#admission.scheduledRetries,
      ...this.#observations.describe(),
      prefixEntries: this.#opts.index.size,
      suspects: this.#engineOutcomes.suspects(),
      ...describeEngines(this.ledger, nowMs),
    }
  }

  #recordNoReport (engine: string, { hadReport, silent }: { hadReport: boolean, silent: boolean }): void {
    this.#engineOutcomes.recordNoReport(engine, silent)
    if (hadReport) this.#opts.onUnresponsive?.(engine)
    this.#opts.index.removeEngine(engine)
  }

  /** Refuses the last waiting request over its client's share in favour of one within its own share. Returns false if there is none. */
  #displaceFor ({ client, priority }: ReserveRequest, nowMs: number): boolean {
    const displaced = this.#shares.ofPriority(priority).wouldExceed(client, nowMs)
      ? undefined
      : this.#waiting.all().findLast((waiting) => waiting.request.priority <= priority && this.#shares.isOverShare(waiting))
    if (displaced) this.#refuse(displaced, TOO_MANY_WAITING)
    return displaced !== undefined
  }

  #recordArrival (nowMs: number): void {
    this.#admission.recordArrival(nowMs)
    this.#observations.recordArrival(nowMs)
  }

  /** Places and refuses all requests that can be decided now, then schedules the next cycle. */
  #runCycle (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.ledger.expire(nowMs)
    this.#admission.recordChange()
    if (this.#waiting.size === 0) return this.#admission.recordIdle(nowMs)
    this.#admission.expire(nowMs)
    // No slot becomes free during a pause, so its time is not counted in the rate at which they do.
    if (this.ledger.pausedForMs(nowMs) > 0) this.#admission.recordIdle(nowMs)
    const queuedPrefillMs = this.#admission.queuedPrefillMs(this.#waiting.all(), nowMs)
    const next = () => {
      this.#shares.refresh(this.#waiting.all(), nowMs)
      return this.#chooser.choose(this.#waiting.all(), queuedPrefillMs, nowMs)
    }
    for (let choice = next(); choice; choice = next()) this.#place(choice.waiting, choice.estimate, nowMs)
    this.#decideWaiting(nowMs)
    if (this.#waiting.size === 0) this.#admission.recordIdle(nowMs)
    this.#scheduleNextCycle(nowMs)
  }

  /** Decides again for each waiting request whether it is kept. */
  #decideWaiting (nowMs: number): void {
    if (this.#waiting.size === 0) return
    this.#admission.decide(this.#waiting.all(), nowMs).forEach((decided) => this.#applyDecision(decided, nowMs))
  }

  #applyDecision (decided: QueueDecision, nowMs: number): void {
    const { waiting, inputs, decision } = decided
    if (waiting.outcome === undefined && !waiting.returned) this.#admission.recordShare(waiting, nowMs)
    this.#admission.recordDecision(decided, nowMs)
    if (waiting.outcome !== decision.outcome) this.#opts.onAdmission?.(waiting.request.label.requestId, inputs, decision, this.#shareUseOf(waiting))
    waiting.outcome = decision.outcome
    if (decision.outcome === AdmissionOutcome.Refused) this.#refuse(waiting, decision.reason)
  }

  #place (waiting: WaitingRequest, estimate: PlacementEstimate, nowMs: number): void {
    if (waiting.outcome === undefined && !waiting.returned) this.#admission.recordShare(waiting, nowMs)
    this.#recorder.record(waiting, estimate, nowMs)
    const errorMs = this.#admission.recordPlacement(waiting, estimate.firstTokenMs, nowMs)
    if (errorMs !== undefined) this.#opts.onForecastError?.(errorMs)
    this.#opts.onAnswered?.(PlacementOutcome.Placed, this.#shareUseOf(waiting))
    this.#answer(waiting, planOfEstimate(estimate, nowMs))
  }

  /** Drops cached prefill durations for an engine whose cached prefixes changed. */
  #invalidateCosts (engine: string): void {
    const poolIndex = this.ledger.prefillEngines().findIndex(({ name }) => name === engine)
    this.#waiting.all().forEach(({ prefillCostsMs }) => { prefillCostsMs[poolIndex] = undefined })
  }

  #refusal (waiting: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string): PlacementAnswer {
    return this.#admission.refuse(waiting, reason, { waitingCount: this.#waiting.size, nowMs: this.#opts.clock.nowMs() })
  }

  #refuse (waiting: WaitingRequest, reason: string): void {
    this.#opts.onAnswered?.(PlacementOutcome.Refused, this.#shareUseOf(waiting))
    this.#answer(waiting, this.#refusal(waiting, reason))
  }

  #shareUseOf (waiting: WaitingRequest): ShareUse {
    return { client: waiting.request.client, overShare: this.#shares.isOverShare(waiting) }
  }

  /** Answers a retry that arrived too early. Its retry time stays. */
  #refuseEarly (request: ReserveRequest, remainingMs = 0, nowMs: number): PlacementAnswer {
    this.#opts.onEarlyRetry?.()
    return this.#admission.refuseEarly(request, remainingMs, { waitingCount: this.#waiting.size, nowMs })
  }

  #answer (waiting: WaitingRequest, answer: PlacementAnswer): void {
    this.#waiting.remove(waiting)
    waiting.resolve(answer)
  }

  #scheduleNextCycle (nowMs: number): void {
    if (this.#waiting.size === 0) return this.#timer.cancel()
    const dispatchesMs = this.ledger.prefillEngines().map(({ account }) => account.freeAtMs(nowMs) - DISPATCH_LOOKAHEAD_MS)
    const nextMs = Math.min(...dispatchesMs.filter((atMs) => atMs > nowMs), nowMs + MAX_CYCLE_INTERVAL_MS)
    this.#timer.schedule(nextMs, nowMs)
  }
}
