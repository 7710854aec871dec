import { softwareVersionOf } from '@reelspan/config.fleet'
import { type Clock } from '@reelspan/core.env'
import { ReelspanError } from '@reelspan/core.error'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type EngineOutcome, type HoldLabel, holdLabelKey, type Member, MessageType, type PeerLink, PeerLinkError, type PlacementAnswer, PlacementOutcome, type PlacementPlan, type PlacementRefusal, type PlacementReport, type ReserveRequest } from '@reelspan/core.messages'
import { type Placement, type PlaceOptions, Placer, type PlaceRequest } from '@reelspan/scheduling.placer'
import { type AdoptedReservation, returnKeyOf, type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { schedulerOf, type Shard } from '@reelspan/scheduling.shards'
import { EarlyRefusals } from './earlyRefusals.js'

export interface SchedulerPlacerOptions {
  clock: Clock
  link: PeerLink
  /** This box's incarnation. */
  selfIncarnation: () => string
  /** Members that may be schedulers, in this box's view. */
  schedulers: () => readonly Member[]
  shardsOfModel: (model: string) => readonly Shard[]
  /** The scheduler of a shard if it runs on this box. */
  localScheduler: (shardId: string) => ShardScheduler | undefined
  /** Places requests without a scheduler while none can be reached. */
  fallback: Placer
  /** Called when an early retry is refused without asking the scheduler. */
  onEarlyRetry?: () => void
}

/** Number of shards that are tried in turn for a request. */
const MAX_SHARDS_TRIED = 2
/** A scheduler answers at the latest when the first token would no longer be useful; this is added for the round trip. */
const ANSWER_SLACK_MS = 100
const RELEASE_TIMEOUT_MS = 1000
/** Prompts with the same first tokens, up to this many, are sent to the same shard. */
const AFFINITY_TOKENS = 512

/** The answer to a request that ended while it was being placed. */
const WITHDRAWN: PlacementRefusal = { outcome: PlacementOutcome.Refused, reason: 'withdrawn', retryAfterMs: 0 }

/** A placement that has not been released. */
interface LivePlacement {
  request: ReserveRequest
  plan: PlacementPlan
  placedAtMs: number
  tokensDone: number
  scheduler: Member
  /** Schedulers that had the reservation before. It is released there as well. */
  previousSchedulers: Member[]
}

/** Places requests through the scheduler of one of the model's shards, and spills to a second shard. */
export class SchedulerPlacer extends Placer {
  readonly #opts: SchedulerPlacerOptions
  readonly #live = new Map<string, LivePlacement>()
  readonly #earlyRefusals = new EarlyRefusals()

  constructor (opts: SchedulerPlacerOptions) {
    super()
    this.#opts = opts
  }

  get liveCount (): number {
    return this.#live.size
  }

  async place (request: PlaceRequest, opts: PlaceOptions): Promise<Placement | PlacementRefusal> {
    const { clock, fallback } = this.#opts
    const startedAtMs = clock.nowMs()
    const refusals: PlacementRefusal[] = []
    for (const shard of this.#shardsFor(request)) {
      if (opts.signal.aborted) return WITHDRAWN
      const elapsedMs = clock.nowMs() - startedAtMs
      const reserve = { ...request, shardId: shard.id, ttftLeftMs: request.ttftLeftMs - elapsedMs }
      const answer = await this.#reserveOnShard(shard, reserve, opts.signal)
      if (!answer) return fallback.place({ ...request, ttftLeftMs: request.ttftLeftMs - (clock.nowMs() - startedAtMs) }, opts)
      if ('plan' in answer) return answer
      refusals.push(answer)
    }
    return earliestRetry(refusals)
  }

  /** Sends this box's reservations to schedulers that have taken over a shard. */
  async transferToNewSchedulers (): Promise<void> {
    const moved = [...this.#live.values()].flatMap((live) => {
      const shard = this.#shard(live.request)
      const scheduler = shard && schedulerOf(shard, this.#opts.schedulers())
      return scheduler && scheduler.incarnation !== live.scheduler.incarnation ? [{ live, scheduler }] : []
    })
    const shardIds = new Set(moved.map(({ live }) => live.request.shardId))
    await Promise.all([...shardIds].map((shardId) => this.#transferReservations(shardId, moved.filter(({ live }) => live.request.shardId === shardId))))
  }

  /** The shard preferred for the request's prefix, and one more to spill to. */
  #shardsFor (request: PlaceRequest): Shard[] {
    const shards = this.#opts.shardsOfModel(request.model).filter((shard) => mayGoOnAt(shard, request))
    if (shards.length <= 1) return shards
    const prefix = request.prefixes.findLast(({ tokens }) => tokens <= AFFINITY_TOKENS)
    const affinity = prefix?.digest ?? holdLabelKey(request.label)
    return rankByRendezvous(affinity, shards, ({ id }) => id).slice(0, MAX_SHARDS_TRIED)
  }

  #shard ({ model, shardId }: ReserveRequest & { model?: string }): Shard | undefined {
    return this.#opts.shardsOfModel(model ?? shardId.split('#')[0]).find(({ id }) => id === shardId)
  }

  /** Returns undefined if no scheduler can be reached. After a failed call, or if the request ends meanwhile, any reservation made is released. */
  async #reserveOnShard (shard: Shard, request: ReserveRequest & PlaceRequest, signal: AbortSignal): Promise<Placement | PlacementRefusal | undefined> {
    const scheduler = schedulerOf(shard, this.#opts.schedulers())
    if (!scheduler) return undefined
    const earlyRefusal = this.#findEarlyRefusal(scheduler, request)
    if (earlyRefusal) return earlyRefusal
    const withdraw = () => this.#release(scheduler, request)
    signal.addEventListener('abort', withdraw, { once: true })
    try {
      const answer = await this.#reserveWithReconnect(scheduler, request, signal)
      if (signal.aborted) return WITHDRAWN
      if (answer.outcome === PlacementOutcome.Placed) return this.#track(request, answer, scheduler)
      this.#earlyRefusals.record(earlyKeyOf(request), scheduler.incarnation, answer, this.#opts.clock.nowMs())
      return answer
    } catch (thrown) {
      if (!(thrown instanceof ReelspanError)) throw thrown
      if (signal.aborted) return WITHDRAWN
      withdraw()
      return undefined
    } finally {
      signal.removeEventListener('abort', withdraw)
    }
  }

  #findEarlyRefusal (scheduler: Member, request: ReserveRequest): PlacementRefusal | undefined {
    const refusal = this.#earlyRefusals.find(earlyKeyOf(request), scheduler.incarnation, this.#opts.clock.nowMs())
    if (refusal) this.#opts.onEarlyRetry?.()
    return refusal
  }

  /** If the connection is unresponsive, releases any reservation made over it and retries on a new connection. */
  async #reserveWithReconnect (scheduler: Member, request: ReserveRequest, signal: AbortSignal): Promise<PlacementAnswer> {
    const { clock } = this.#opts
    const startedAtMs = clock.nowMs()
    try {
      return await this.#reserve(scheduler, request, signal)
    } catch (thrown) {
      if (!(thrown instanceof PeerLinkError) || !thrown.silent || signal.aborted) throw thrown
      this.#release(scheduler, request)
      const elapsedMs = clock.nowMs() - startedAtMs
      const patienceMs = request.patienceMs === undefined ? undefined : request.patienceMs - elapsedMs
      return this.#reserve(scheduler, { ...request, ttftLeftMs: request.ttftLeftMs - elapsedMs, patienceMs }, signal)
    }
  }

  async #reserve (scheduler: Member, request: ReserveRequest, signal: AbortSignal): Promise<PlacementAnswer> {
    if (scheduler.incarnation === this.#opts.selfIncarnation()) return this.#reserveLocally(request)
    const timeoutMs = Math.max(0, request.ttftLeftMs, request.patienceMs ?? 0) + ANSWER_SLACK_MS
    const answer = await this.#opts.link.call(scheduler.peerAddress, { type: MessageType.Reserve, request }, { timeoutMs, signal, failIfUnresponsive: true })
    if (answer.type !== MessageType.ReserveAnswer) throw new Error(`unexpected answer ${answer.type}`)
    return answer.answer
  }

  async #reserveLocally (request: ReserveRequest): Promise<PlacementAnswer> {
    const scheduler = this.#opts.localScheduler(request.shardId)
    if (!scheduler) return { outcome: PlacementOutcome.Refused, reason: `there is no shard ${request.shardId}`, retryAfterMs: RELEASE_TIMEOUT_MS }
    return scheduler.reserve(request)
  }

  #track (request: ReserveRequest, plan: PlacementPlan, scheduler: Member): Placement {
    const key = holdLabelKey(request.label)
    const live: LivePlacement = { request, plan, scheduler, placedAtMs: this.#opts.clock.nowMs(), tokensDone: 0, previousSchedulers: [] }
    this.#live.set(key, live)
    return {
      plan,
      placedBy: scheduler.name,
      recordPrefillEnd: () => this.#sendPrefillEnd(live),
      recordOutcomes: (outcomes) => this.#sendOutcomes(live, outcomes),
      release: (report, outcomes) => {
        this.#live.delete(key)
        this.#release(live.scheduler, request, report, outcomes)
        this.#releaseAtPreviousSchedulers(live)
      },
      recordProgress: (tokensDone) => { live.tokensDone = tokensDone },
    }
  }

  #sendPrefillEnd ({ scheduler, request: { shardId, label } }: LivePlacement): void {
    const { link, localScheduler, selfIncarnation } = this.#opts
    if (scheduler.incarnation === selfIncarnation()) return localScheduler(shardId)?.recordPrefillEnd(label)
    // The link reports a failure; the scheduler then relies on its own estimate.
    link.call(scheduler.peerAddress, { type: MessageType.PrefillDone, shardId, label }, { timeoutMs: RELEASE_TIMEOUT_MS, repeatable: true }).catch(() => {})
  }

  #sendOutcomes ({ scheduler, request: { shardId, label } }: LivePlacement, outcomes: readonly EngineOutcome[]): void {
    const { link, localScheduler, selfIncarnation } = this.#opts
    if (scheduler.incarnation === selfIncarnation()) return localScheduler(shardId)?.recordOutcomes(label, outcomes)
    // The link reports a failure; the scheduler then learns of the engine from its own requests for reports.
    link.call(scheduler.peerAddress, { type: MessageType.ReleaseReservation, shardId, label, outcomes: [...outcomes], stillReserved: true }, { timeoutMs: RELEASE_TIMEOUT_MS, repeatable: true }).catch(() => {})
  }

  /** Does not wait for the answer: a reservation that is not released expires. */
  #release (scheduler: Member, request: { shardId: string, label: HoldLabel }, report?: PlacementReport, outcomes: readonly EngineOutcome[] = []): void {
    const { link, localScheduler, selfIncarnation } = this.#opts
    const { shardId, label } = request
    if (scheduler.incarnation === selfIncarnation()) return localScheduler(shardId)?.release(label, report, outcomes)
    // The link reports a failure.
    link.call(scheduler.peerAddress, { type: MessageType.ReleaseReservation, shardId, label, report, outcomes: [...outcomes] }, { timeoutMs: RELEASE_TIMEOUT_MS, repeatable: true }).catch(() => {})
  }

  async #transferReservations (shardId: string, moved: { live: LivePlacement, scheduler: Member }[]): Promise<void> {
    const { clock, link, localScheduler, selfIncarnation } = this.#opts
    const { scheduler } = moved[0]
    const reservations = moved.map(({ live }): AdoptedReservation => ({
      request: live.request,
      plan: live.plan,
      ageMs: clock.nowMs() - live.placedAtMs,
      decoding: live.tokensDone > 0,
      tokensDone: live.tokensDone,
    }))
    // The link reports a failure; the scheduler then learns of the running requests only from engine reports.
    if (scheduler.incarnation === selfIncarnation()) localScheduler(shardId)?.adopt(reservations)
    else await link.call(scheduler.peerAddress, { type: MessageType.AdoptReservations, shardId, reservations }, { timeoutMs: RELEASE_TIMEOUT_MS, repeatable: true }).catch(() => {})
    moved.forEach(({ live }) => this.#completeTransfer(live, scheduler))
  }

  /**
   * Makes the new scheduler the one that has the reservation. The previous one keeps it until the
   * request ends, because other boxes may still place through it.
   */
  #completeTransfer (live: LivePlacement, scheduler: Member): void {
    live.previousSchedulers = [...live.previousSchedulers, live.scheduler].filter(({ incarnation }) => incarnation !== scheduler.incarnation)
    live.scheduler = scheduler
    // The request may have ended during the transfer.
    if (!this.#live.has(holdLabelKey(live.request.label))) this.#release(scheduler, live.request)
  }

  /** Releases the reservation at previous schedulers as well: it would occupy a slot until the request's deadline if one of them took over the shard again. */
  #releaseAtPreviousSchedulers ({ previousSchedulers, request }: LivePlacement): void {
    const aliveIncarnations = new Set(this.#opts.schedulers().map(({ incarnation }) => incarnation))
    previousSchedulers.filter(({ incarnation }) => aliveIncarnations.has(incarnation)).forEach((scheduler) => this.#release(scheduler, request))
  }
}

/** Each shard has its own queue. */
function earlyKeyOf (request: ReserveRequest): string {
  return `${request.shardId} ${returnKeyOf(request)}`
}

function earliestRetry (refusals: PlacementRefusal[]): PlacementRefusal {
  const [earliest] = [...refusals].sort((a, b) => a.retryAfterMs - b.retryAfterMs)
  return earliest ?? { outcome: PlacementOutcome.Refused, reason: 'the model has no engines', retryAfterMs: 1000 }
}

/** Whether a shard has an engine of the software version that began the request's stream. */
function mayGoOnAt ({ decodeEngines }: Shard, { softwareVersion }: PlaceRequest): boolean {
  return softwareVersion === undefined || decodeEngines.some((engine) => !engine.leaving && softwareVersionOf(engine) === softwareVersion)
}
