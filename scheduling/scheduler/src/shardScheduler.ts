import { type RouteSpec } from '@reelspan/config.resources'
import { type Clock, STOPPED, TaskGroup } from '@reelspan/core.env'
import { type HoldLabel, type MessageOf, type MessageType, type PlacementAnswer, PlacementOutcome, type PlacementPlan, type PlacementReport, type ReserveRequest } from '@reelspan/core.messages'
import { type EngineAccount, type LedgerEntry, type PrefillAccount, ShardLedger } from '@reelspan/scheduling.ledger'
import { type PrefixIndex, type RemovalPage } from '@reelspan/scheduling.prefix-index'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport } from '@reelspan/upstream.client'
import { ClientShares } from './clientShares.js'
import { type PlacementEstimate, PlacementEstimator } from './placementEstimator.js'
import { PlacesLimit } from './placesLimit.js'
import { QuantileEstimator } from './quantileEstimator.js'
import { ReturnCalendar } from './returnCalendar.js'
import { WaitingQueue, type WaitingRequest } from './waitingQueue.js'

export interface ShardSchedulerOptions {
  clock: Clock
  shard: Shard
  /** The route of the shard's model, for client weights and shares. */
  route: () => RouteSpec | undefined
  index: PrefixIndex
  reportLifeMs: number
}

export type AdoptedReservation = MessageOf<MessageType.AdoptReservations>['reservations'][number]

/** A prefill is handed to an engine when the engine is this close to done with the one before. */
const HANDOUT_LOOKAHEAD_MS = 25
/** An owner that gets a plan must start its prefill within this time. */
const START_WITHIN_MS = 300
/** First guess of how much later than estimated first tokens come. */
const FIRST_PATH_MS = 10
/** A reservation outlives its request's deadline by this much. */
const RESERVATION_GRACE_MS = 1000
const MAX_WAITING = 2000
const MAX_FITS_TRIED = 3
/** Prefill work that an engine gets done while a request can wait, about. */
const WORK_IN_SIGHT_MS = 150
const LEAST_PRESSURE = 0.3
const MOST_PRESSURE = 2
const RETURN_SHARE = 0.6
const RETURN_MIN_MS = 500
const RETURN_MAX_MS = 30_000

/** A prefill engine that takes work, as of one moment. */
interface ReadyEngine {
  engine: EngineAccount<PrefillAccount>
  /** Its place among the shard's prefill engines. */
  slot: number
  freeAtMs: number
  speedFactor: number
}

/** A waiting request and the engine it would go to. */
interface Candidate {
  waiting: WaitingRequest
  ready: ReadyEngine
  costMs: number
}

/** Places requests on one shard: holds them until an engine can begin at once, best use first, and refuses what would be late. */
export class ShardScheduler {
  readonly ledger: ShardLedger
  readonly #opts: ShardSchedulerOptions
  readonly #tasks: TaskGroup
  readonly #estimator: PlacementEstimator
  readonly #shares = new ClientShares()
  readonly #ttftError = new QuantileEstimator({ quantile: 0.85, firstMs: FIRST_PATH_MS, minMs: 5, maxMs: 60 })
  readonly #placesLimit: PlacesLimit
  readonly #calendar = new ReturnCalendar({ share: RETURN_SHARE, minDelayMs: RETURN_MIN_MS, maxDelayMs: RETURN_MAX_MS })
  readonly #waiting = new WaitingQueue()
  #wake?: AbortController

  constructor (opts: ShardSchedulerOptions) {
    this.#opts = opts
    this.ledger = new ShardLedger(opts.shard, { reportLifeMs: opts.reportLifeMs })
    this.#estimator = new PlacementEstimator(this.ledger, opts.index)
    this.#placesLimit = new PlacesLimit(opts.shard.decodePool.placesPerEngine)
    this.#tasks = new TaskGroup(opts.clock)
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  update (shard: Shard): void {
    this.ledger.update(shard)
    this.#waiting.all().forEach((waiting) => { waiting.costsMs = [] })
    this.#pump()
  }

  async stop (): Promise<void> {
    this.#waiting.all().forEach((waiting) => this.#answer(waiting, { outcome: PlacementOutcome.Refused, reason: 'the scheduler stops', retryAfterMs: 0 }))
    await this.#tasks.stop()
  }

  /** Waits until the request can be placed, or until it is clear that it would be late. */
  reserve (request: ReserveRequest): Promise<PlacementAnswer> {
    const { clock } = this.#opts
    if (this.#waiting.size >= MAX_WAITING) return Promise.resolve(this.#refusal(request, 'too many requests wait'))
    const nowMs = clock.nowMs()
    return new Promise((resolve) => {
      this.#waiting.add({ request, resolve, arrivedAtMs: nowMs, lateAtMs: nowMs + request.ttftLeftMs - this.#ttftError.valueMs, returned: this.#calendar.isDue(request.returnId, nowMs), handoverMs: this.#estimator.handoverMs(request), costsMs: [] })
      this.#pump()
    })
  }

  /** The request is over, or its caller has gone. */
  release (label: HoldLabel, report?: PlacementReport): void {
    this.#waiting.withdraw(label)
    const entry = this.ledger.release(label)
    if (entry && report) this.#learn(entry, report)
    this.#pump()
  }

  /** A prefill has ended, as its owner says. */
  prefilled (label: HoldLabel): void {
    this.ledger.prefilled(label, this.#opts.clock.nowMs())
    this.#pump()
  }

  #learn (entry: LedgerEntry, report: PlacementReport): void {
    this.#ttftError.learn(report.ttftErrorMs)
    this.#placesLimit.learn(report.tbtP50Ms, entry.tbtTargetMs)
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
          client: request.client,
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
  }

  noteRemovals (engine: string, page: RemovalPage): void {
    this.#opts.index.noteRemovals(engine, page, this.#opts.clock.nowMs())
    this.#forgetCosts(engine)
  }

  /** State for the dump. */
  describe () {
    const nowMs = this.#opts.clock.nowMs()
    return {
      shard: this.ledger.shard.id,
      waiting: this.#waiting.size,
      reservations: this.ledger.reservationCount,
      returnsBooked: this.#calendar.size,
      ttftErrorMs: Math.round(this.#ttftError.valueMs),
      placesLimit: this.#placesLimit.places,
      prefixEntries: this.#opts.index.size,
      prefill: this.ledger.prefillEngines().map((engine) => ({
        name: engine.name,
        servedVersion: this.ledger.servedVersion(engine, nowMs),
        leaving: engine.leaving,
        retiring: engine.retiring,
        busyMs: Math.round(engine.account.freeAtMs(nowMs) - nowMs),
        speedFactor: Number(engine.account.speedFactor.toFixed(2)),
        reportAgeMs: engine.report && Math.round(nowMs - engine.reportAtMs),
      })),
      decode: this.ledger.decodeEngines().map((engine) => ({
        name: engine.name,
        servedVersion: this.ledger.servedVersion(engine, nowMs),
        leaving: engine.leaving,
        retiring: engine.retiring,
        reservedPlaces: engine.account.reservedPlaces,
        externalPlaces: engine.account.externalPlaces,
        kvBytesInUse: engine.account.kvBytesInUse,
        reportAgeMs: engine.report && Math.round(nowMs - engine.reportAtMs),
      })),
    }
  }

  /** Places and refuses whatever can be decided now, then sleeps until the next moment that could change that. */
  #pump (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.ledger.expire(nowMs)
    if (this.#waiting.size === 0) return
    this.#calendar.expire(nowMs)
    const waitingMs = this.#refuseLate(nowMs)
    const next = () => this.#choose(waitingMs, nowMs)
    for (let choice = next(); choice; choice = next()) this.#commit(choice.waiting, choice.estimate, nowMs)
    this.#sleepUntilNext(nowMs)
  }

  /** Refuses, at once, each request that no engine could serve in time any more. Answers with the least prefill work that is left. */
  #refuseLate (nowMs: number): number {
    const engines = this.#readyTimes(nowMs)
    let waitingMs = 0
    this.#waiting.all().forEach((waiting) => {
      let earliestMs = engines.length > 0 ? Number.POSITIVE_INFINITY : nowMs
      let leastMs = Number.POSITIVE_INFINITY
      engines.forEach((ready) => {
        const costMs = this.#costMs(waiting, ready)
        leastMs = Math.min(leastMs, costMs)
        earliestMs = Math.min(earliestMs, ready.freeAtMs + costMs)
      })
      if (earliestMs + waiting.handoverMs <= waiting.lateAtMs) waitingMs += engines.length > 0 ? leastMs : 0
      else this.#answer(waiting, this.#refusal(waiting.request, engines.length > 0 ? 'the first token would be late' : 'no engine of the model takes work'))
    })
    return waitingMs
  }

  /** The prefill engines that take work, and when each can begin another prefill. */
  #readyTimes (nowMs: number): ReadyEngine[] {
    return this.ledger.prefillEngines().flatMap((engine, slot) => this.ledger.servedVersion(engine, nowMs) === undefined
      ? []
      : [{ engine, slot, freeAtMs: engine.account.freeAtMs(nowMs), speedFactor: engine.account.speedFactor }])
  }

  /** The waiting request that makes best use of an engine that is about to be free. */
  #choose (waitingMs: number, nowMs: number): { waiting: WaitingRequest, estimate: PlacementEstimate } | undefined {
    if (this.#waiting.size === 0) return undefined
    const engines = this.#readyTimes(nowMs)
    const handoutUntilMs = nowMs + HANDOUT_LOOKAHEAD_MS
    if (!engines.some(({ freeAtMs }) => freeAtMs <= handoutUntilMs)) return undefined
    const pressure = this.#pressure(this.#waiting.size > 1 ? waitingMs : 0, engines.length)
    const candidates = this.#waiting.all().flatMap((waiting) => {
      const ready = this.#bestEngine(waiting, engines, pressure)
      return ready && ready.freeAtMs <= handoutUntilMs ? [{ waiting, ready, costMs: this.#costMs(waiting, ready) }] : []
    })
    return this.#firstThatFits(this.#inOrder(candidates, nowMs), nowMs)
  }

  /** How much more prefill work waits than the engines can do before it is late: from 0.3 when nothing waits, up to 2. */
  #pressure (waitingMs: number, engineCount: number): number {
    return Math.min(MOST_PRESSURE, LEAST_PRESSURE + waitingMs / (engineCount * WORK_IN_SIGHT_MS))
  }

  /** Time that a prefill takes on an engine. Remembered while the request waits; it depends on what is cached there. */
  #costMs ({ request, costsMs }: WaitingRequest, { engine, slot, speedFactor }: ReadyEngine): number {
    const costMs = costsMs[slot] ?? this.#estimator.prefillCostMs(request, engine.name, this.#opts.clock.nowMs())
    costsMs[slot] = costMs
    return costMs * speedFactor
  }

  /** The engine with the earliest first token, where work that a cached prefix would save counts as time under pressure. */
  #bestEngine (waiting: WaitingRequest, engines: readonly ReadyEngine[], pressure: number): ReadyEngine | undefined {
    const { request: { avoid }, lateAtMs, handoverMs } = waiting
    let best: ReadyEngine | undefined
    let bestScore = Number.POSITIVE_INFINITY
    engines.forEach((ready) => {
      const costMs = this.#costMs(waiting, ready)
      const endMs = ready.freeAtMs + costMs
      const score = endMs + pressure * costMs
      if (score >= bestScore || endMs + handoverMs > lateAtMs || (avoid.length > 0 && avoid.includes(ready.engine.name))) return
      best = ready
      bestScore = score
    })
    return best
  }

  /** Priority first; then those who were asked to return; then clients that are not ahead of their share; then the least work. */
  #inOrder (candidates: Candidate[], nowMs: number): Candidate[] {
    if (candidates.length <= 1) return candidates
    const rank = ({ waiting, costMs }: Candidate) => [
      -waiting.request.priority,
      waiting.returned ? 0 : 1,
      this.#shares.isAhead(waiting.request.client, nowMs) ? 1 : 0,
      costMs,
      waiting.arrivedAtMs,
    ]
    return candidates
      .map((candidate) => ({ candidate, rank: rank(candidate) }))
      .sort((a, b) => compareRanks(a.rank, b.rank))
      .map(({ candidate }) => candidate)
  }

  /** The first of the candidates that a decode engine has room for. Few are tried: what one does not find, the next seldom does. */
  #firstThatFits (candidates: readonly Candidate[], nowMs: number): { waiting: WaitingRequest, estimate: PlacementEstimate } | undefined {
    for (const { waiting, ready, costMs } of candidates.slice(0, MAX_FITS_TRIED)) {
      const { request, lateAtMs } = waiting
      const route = this.#opts.route()
      const usablePlaces = Math.min(this.#placesLimit.places, this.#estimator.usablePlaces(request.tbtTargetMs, route))
      const part = { prefill: ready.engine, startMs: ready.freeAtMs, endMs: ready.freeAtMs + costMs, costMs }
      const estimate = this.#estimator.estimateDecode(request, part, { usablePlaces, objective: route?.objective, nowMs })
      if (estimate && estimate.firstTokenMs <= lateAtMs) return { waiting, estimate }
    }
    return undefined
  }

  #commit (waiting: WaitingRequest, estimate: PlacementEstimate, nowMs: number): void {
    const { request } = waiting
    const { prefill, decode } = estimate
    this.ledger.reserve({
      label: request.label,
      client: request.client,
      tbtTargetMs: request.tbtTargetMs,
      prefillEngine: prefill.name,
      decodeEngine: decode.name,
      kvBytes: estimate.kvBytes,
      prefillCostMs: estimate.costMs,
      importEndMs: estimate.importEndMs,
      latestEndMs: estimate.latestEndMs,
      expiresAtMs: nowMs + request.deadlineMs + RESERVATION_GRACE_MS,
    }, nowMs)
    this.#opts.index.noteSent(prefill.name, request.prefixes, nowMs)
    this.#forgetCosts(prefill.name)
    const weight = this.#opts.route()?.clientWeights[request.client] ?? 1
    this.#shares.charge(request.client, estimate.costMs, weight, nowMs)
    this.#calendar.forget(request.returnId)
    this.#answer(waiting, planOf(estimate, nowMs))
  }

  /** What an engine has cached has changed. */
  #forgetCosts (engine: string): void {
    const slot = this.ledger.prefillEngines().findIndex(({ name }) => name === engine)
    this.#waiting.all().forEach(({ costsMs }) => { costsMs[slot] = undefined })
  }

  #answer (waiting: WaitingRequest, answer: PlacementAnswer): void {
    this.#waiting.remove(waiting)
    waiting.resolve(answer)
  }

  #refusal (request: ReserveRequest, reason: string): PlacementAnswer {
    const nowMs = this.#opts.clock.nowMs()
    const engines = this.#readyTimes(nowMs)
    const costsMs = engines.map(({ engine }) => this.#estimator.prefillCostMs(request, engine.name, nowMs))
    const shardCostMs = engines.length > 0 ? Math.min(...costsMs) / engines.length : 0
    const retryAfterMs = this.#calendar.book(request.returnId, shardCostMs, nowMs)
    return { outcome: PlacementOutcome.Refused, reason, retryAfterMs: Math.round(retryAfterMs) }
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

/** Waiting requests are looked at again at least this often. */
const MAX_SLEEP_MS = 10

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

function compareRanks (a: readonly number[], b: readonly number[]): number {
  const at = a.findIndex((value, i) => value !== b[i])
  return at < 0 ? 0 : a[at] - b[at]
}
