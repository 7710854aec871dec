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
import { HANDOUT_LOOKAHEAD_MS, PlacementChooser } from './placementChooser.js'
import { type PlacementEstimate, PlacementEstimator } from './placementEstimator.js'
import { type LearntLoad, PlacementLessons } from './placementLessons.js'
import { PlacementRate } from './placementRate.js'
import { QueueForecast } from './queueForecast.js'
import { RefusalBooking } from './refusalBooking.js'
import { ReturnCalendar } from './returnCalendar.js'
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
const MAX_SLEEP_MS = 10
/** Part of the time in which it is of use that a promised request waits for a place that nobody in time needs. */
const PROMISE_DUE_SHARE = 0.25
/** Engines report, and callers connect anew, within about this time: sooner, little has changed. */
const RETURN_MIN_MS = 500
const RETURN_MAX_MS = 30_000

/** Places requests on one shard: holds them until an engine can begin at once, best use first, and refuses what would be late. */
export class ShardScheduler {
  readonly ledger: ShardLedger
  readonly #opts: ShardSchedulerOptions
  readonly #tasks: TaskGroup
  readonly #estimator: PlacementEstimator
  readonly #shares = new ClientShares()
  readonly #lessons: PlacementLessons
  readonly #rate = new PlacementRate()
  readonly #chooser: PlacementChooser
  readonly #calendar = new ReturnCalendar({ minDelayMs: RETURN_MIN_MS, maxDelayMs: RETURN_MAX_MS })
  readonly #waiting = new WaitingQueue()
  readonly #forecast: QueueForecast
  readonly #refusals: RefusalBooking
  readonly #health: UpstreamHealth
  readonly #limits: EngineLimits
  #wake?: AbortController

  constructor (opts: ShardSchedulerOptions) {
    this.#opts = opts
    this.ledger = new ShardLedger(opts.shard, { reportLifeMs: opts.reportLifeMs })
    this.#lessons = new PlacementLessons(this.ledger)
    const { lengths, placesLimit } = this.#lessons
    this.#health = new UpstreamHealth(opts)
    this.#limits = new EngineLimits({ clock: opts.clock, perSecond: opts.limitPerSecond })
    const isSuspect = (engine: string) => this.#health.isSuspect(engine)
    const limits = this.#limits
    this.#estimator = new PlacementEstimator({ ledger: this.ledger, index: opts.index, lengths, isSuspect, limits })
    this.#chooser = new PlacementChooser({ ledger: this.ledger, estimator: this.#estimator, shares: this.#shares, placesLimit, route: opts.route, isSuspect, limits })
    this.#forecast = new QueueForecast({ ledger: this.ledger, chooser: this.#chooser })
    this.#refusals = new RefusalBooking({ chooser: this.#chooser, estimator: this.#estimator, rate: this.#rate, calendar: this.#calendar })
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
    before.filter(({ name }) => !listed.has(name)).forEach(({ name }) => this.#opts.index.forgetEngine(name))
    this.#waiting.all().forEach((waiting) => { waiting.costsMs = [] })
    this.#pump()
  }

  async stop (): Promise<void> {
    this.#waiting.all().forEach((waiting) => this.#answer(waiting, { outcome: PlacementOutcome.Refused, reason: 'the scheduler stops', retryAfterMs: 0 }))
    await this.#tasks.stop()
  }

  /** Waits until the request can be placed, or until it is clear that this will be too late. */
  reserve (request: ReserveRequest): Promise<PlacementAnswer> {
    const nowMs = this.#opts.clock.nowMs()
    const back = this.#calendar.due(request.returnId, nowMs)
    const firstArrivedAtMs = back?.firstArrivedAtMs ?? nowMs
    if (this.#waiting.size >= MAX_WAITING) return Promise.resolve(this.#refusal({ request, firstArrivedAtMs }, 'too many requests wait'))
    if (!back) this.#noteArrival(nowMs)
    if (this.#waiting.size === 0) this.#rate.noteIdle(nowMs)
    const leftMs = request.ttftLeftMs - this.#lessons.ttftErrorMs
    const usefulMs = Math.min(Math.max(leftMs, request.patienceMs ?? 0), request.deadlineMs)
    return new Promise((resolve) => {
      this.#waiting.add({
        request,
        resolve,
        firstArrivedAtMs,
        lateAtMs: firstArrivedAtMs + leftMs,
        uselessAtMs: nowMs + usefulMs,
        returned: back !== undefined,
        promiseDueAtMs: back?.promised ? nowMs + PROMISE_DUE_SHARE * usefulMs : undefined,
        handoverMs: this.#estimator.handoverMs(request),
        costsMs: [],
      })
      this.#pump()
    })
  }

  /** The request is over, or its caller has gone. */
  release (label: HoldLabel, report?: PlacementReport, outcomes: readonly EngineOutcome[] = []): void {
    this.#waiting.withdraw(label)
    outcomes.forEach(({ engine, outcome }) => this.#noteOutcome(engine, outcome))
    const entry = this.ledger.release(label)
    if (entry && report) this.#lessons.noteEnded(entry, report, this.#opts.clock.nowMs())
    this.#pump()
  }

  /** A prefill has ended, as its owner says. */
  prefilled (label: HoldLabel): void {
    this.ledger.prefilled(label, this.#opts.clock.nowMs())
    this.#pump()
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
    this.#pump()
  }

  noteReport (engine: string, report: EngineReport): void {
    this.ledger.noteReport(engine, report, this.#opts.clock.nowMs())
    this.#pump()
  }

  noteSilent (engine: string): void {
    this.ledger.noteSilent(engine)
    this.#opts.index.forgetEngine(engine)
    this.#pump()
  }

  noteRemovals (engine: string, page: RemovalPage): void {
    this.#opts.index.noteRemovals(engine, page, this.#opts.clock.nowMs())
    this.#forgetCosts(engine)
  }

  /** What requests take of the engines; nothing until enough were seen. */
  observedLoad (): LearntLoad | undefined {
    return this.#lessons.observedLoad(this.#opts.clock.nowMs())
  }

  /** State for the dump. */
  describe () {
    const nowMs = this.#opts.clock.nowMs()
    return {
      shard: this.ledger.shard.id,
      waiting: this.#waiting.size,
      reservations: this.ledger.reservationCount,
      returnsBooked: this.#calendar.size,
      ...this.#lessons.describe(),
      prefixEntries: this.#opts.index.size,
      suspects: this.#health.suspects(),
      ...describeEngines(this.ledger, nowMs),
    }
  }

  /** Owners see few answers of each engine; here they come together. */
  #noteOutcome (engine: string, outcome: UpstreamOutcome): void {
    const pool = this.ledger.poolOf(engine)
    if (pool.length === 0) return
    this.#health.note(engine, outcome, pool)
    if (outcome === UpstreamOutcome.Unreachable) this.#opts.onUnreachable?.(engine)
  }

  #noteArrival (nowMs: number): void {
    this.#rate.noteArrival(nowMs)
    this.#lessons.noteArrival(nowMs)
  }

  /** Places and refuses whatever can be decided now, then sleeps until the next moment that could change that. */
  #pump (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.ledger.expire(nowMs)
    if (this.#waiting.size === 0) return this.#rate.noteIdle(nowMs)
    this.#calendar.expire(nowMs)
    const waitingMs = this.#forecast.waitingWorkMs(this.#waiting.all(), nowMs)
    const next = () => this.#chooser.choose(this.#waiting.all(), waitingMs, nowMs)
    for (let choice = next(); choice; choice = next()) this.#commit(choice.waiting, choice.estimate, nowMs)
    this.#decideAll(nowMs)
    if (this.#waiting.size === 0) this.#rate.noteIdle(nowMs)
    this.#sleepUntilNext(nowMs)
  }

  /** Decides anew of each request that waits whether it is kept. */
  #decideAll (nowMs: number): void {
    if (this.#waiting.size === 0) return
    const engines = this.#chooser.readyEngines(nowMs)
    const decisions = decideQueue(this.#waiting.all(), {
      nowMs,
      msPerPlace: this.#rate.msPerPlace(nowMs),
      msPerArrival: this.#rate.msPerArrival(nowMs),
      rateError: this.#rate.error(nowMs),
      leastMs: (waiting) => this.#forecast.leastMs(waiting, engines, nowMs),
      isAhead: (client) => this.#shares.isAhead(client, nowMs),
      promisesDueAtMs: this.#calendar.promisesDueAtMs(nowMs),
    })
    decisions.forEach((decided) => this.#carryOut(decided))
  }

  #carryOut ({ waiting, inputs, decision }: QueueDecision): void {
    if (waiting.outcome !== decision.outcome) this.#opts.onAdmission?.(waiting.request.label.requestId, inputs, decision)
    waiting.outcome = decision.outcome
    if (decision.outcome === AdmissionOutcome.Refused) this.#answer(waiting, this.#refusal(waiting, decision.reason))
  }

  #commit (waiting: WaitingRequest, estimate: PlacementEstimate, nowMs: number): void {
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
    this.#limits.notePlaced([prefill.name, decode.name])
    if (!isOwnPrefill(entry)) {
      this.#opts.index.noteSent(prefill.name, request.prefixes, nowMs)
      this.#forgetCosts(prefill.name)
    }
    const weight = this.#opts.route()?.clientWeights[request.client] ?? 1
    this.#shares.charge(request.client, estimate.costMs, weight, nowMs)
    this.#calendar.forget(request.returnId)
    this.#rate.note(nowMs)
    this.#lessons.notePlaced({
      prefillMs: isOwnPrefill(entry) ? this.#estimator.prefillCostMs(request, prefill.name, nowMs) : estimate.costMs,
      usualAnswerMs: this.#estimator.usualAnswerMs(request),
      kvBytes: estimate.kvBytes,
    })
    this.#answer(waiting, planOf(estimate, nowMs))
  }

  /** What an engine has cached has changed. */
  #forgetCosts (engine: string): void {
    const slot = this.ledger.prefillEngines().findIndex(({ name }) => name === engine)
    this.#waiting.all().forEach(({ costsMs }) => { costsMs[slot] = undefined })
  }

  #refusal (waiting: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string): PlacementAnswer {
    return this.#refusals.refuse(waiting, reason, { waitingCount: this.#waiting.size, nowMs: this.#opts.clock.nowMs() })
  }

  #answer (waiting: WaitingRequest, answer: PlacementAnswer): void {
    this.#waiting.remove(waiting)
    waiting.resolve(answer)
  }

  #sleepUntilNext (nowMs: number): void {
    this.#wake?.abort(STOPPED)
    if (this.#waiting.size === 0 || this.#tasks.stopped) return
    const wake = new AbortController()
    this.#wake = wake
    const handoutsMs = this.ledger.prefillEngines().map(({ account }) => account.freeAtMs(nowMs) - HANDOUT_LOOKAHEAD_MS)
    const nextMs = Math.min(...handoutsMs.filter((atMs) => atMs > nowMs), nowMs + MAX_SLEEP_MS)
    this.#tasks.run(async () => {
      await this.#opts.clock.sleep(Math.max(1, nextMs - nowMs), { signal: wake.signal })
      if (!wake.signal.aborted && !this.#tasks.stopped) this.#pump()
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
