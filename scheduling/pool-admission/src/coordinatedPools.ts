import { type Clock, TaskGroup } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type HoldLabel, holdLabelKey, type Member, MessageType, type PeerLink, PeerLinkError, type PoolAnswer, type PoolCall, PoolCallOutcome, PoolOutcome, type PoolShortage } from '@reelspan/core.messages'
import { ClientShares } from '@reelspan/scheduling.client-shares'
import { type PoolCoordinator } from './poolCoordinator.js'
import { PoolShortages } from './poolShortages.js'
import { type CallDuration, type PoolRequest, type PoolSlot, PoolSlots, type SlotAnswer, SlotDecision } from './poolSlots.js'
import { ShortageDetector } from './shortageDetector.js'

export interface CoordinatedPoolsOptions {
  clock: Clock
  link: PeerLink
  /** Pools that this box coordinates. */
  coordinator: PoolCoordinator
  /** Boxes that can be coordinators, including this one. Returns the same array until a member changes. */
  members: () => readonly Member[]
  self: () => Member
  /** Weight of an account; the mean of all is about 1. */
  weightOf: (account: string) => number
  /** Whether calls of service pools are admitted at all. Otherwise no pool counts as short, and boxes choose by themselves. By default they are. */
  isEnabled?: () => boolean
  /** Sends reports to all boxes. */
  broadcast: (shortages: readonly PoolShortage[]) => void
  onShortageStarted?: (pool: string) => void
  /** @param shortMs how long the pool was short of capacity */
  onShortageEnded?: (pool: string, shortMs: number) => void
  onTaskError?: (thrown: unknown) => void
}

/** Many times the round trip to a coordinator, which answers within 30 ms even if the call still waits. */
const COORDINATOR_TIMEOUT_MS = 50
/** A coordinator that did not answer is skipped for this time. It may only have been busy, and what boxes send without it displaces what it grants: 1.5 s filled the upstreams' queues. */
const SKIP_UNANSWERED_MS = 300
/** The coordinator, and the box that follows it once its process has exited. */
const COORDINATOR_CANDIDATES = 2
/** A pool counts as short for this long after the last sign: longer than the waves within a burst of some seconds. */
const SHORT_FOR_MS = 5000
/** Interval at which a coordinator extends a shortage that lasts. */
const EXTEND_INTERVAL_MS = 1000
/**
 * A box without a coordinator may use this multiple of an even share of the pool's limit: callers are not spread evenly over
 * boxes, and the queues inside the upstreams hold what exceeds their slots.
 */
const SHARE_FACTOR = 2
/** Accounts over their share may use this part of what a box may use without a coordinator. */
const OVER_SHARE_PART = 0.75
/** Retry delay of a call beyond this box's share; about as long as a call to a service takes. */
const OWN_REFUSAL_RETRY_MS = 100
/** A message about the end of a call may be sent again, since it is idempotent. */
const RELEASE_TIMEOUT_MS = 300

interface TrackedCall {
  label: HoldLabel
  upstream: string
  startedAtMs: number
  /** The coordinator that counts the call. */
  countedBy?: Member
}

interface UnansweredCall {
  untilMs: number
  /** Its process has exited. Otherwise it may be partitioned and still serve the boxes that reach it. */
  exited: boolean
}

/**
 * Asks the coordinator of a pool for each call while the pool is short of capacity. While it is not, no message is sent.
 * A box that cannot reach the coordinator chooses upstreams itself, within an even share of the pool's limit.
 */
export class CoordinatedPools extends PoolSlots {
  readonly #opts: CoordinatedPoolsOptions
  readonly #tasks: TaskGroup
  readonly #shortages = new PoolShortages()
  readonly #detectors = new Map<string, ShortageDetector>()
  readonly #watched = new Set<string>()
  /** Shares of accounts in this box's own calls, by pool, for when no coordinator answers. */
  readonly #shares = new Map<string, ClientShares>()
  readonly #running = new Map<string, Map<string, TrackedCall>>()
  /** Coordinators to which this box has reported its calls in flight, by pool. */
  readonly #reportedTo = new Map<string, string>()
  readonly #coordinators = new Map<string, readonly Member[]>()
  #coordinatorsAmong?: readonly Member[]
  readonly #unanswered = new Map<string, UnansweredCall>()
  #sequence = 0

  constructor (opts: CoordinatedPoolsOptions) {
    super()
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  isShort (pool: string): boolean {
    return this.#shortages.isShort(pool, this.#opts.clock.nowMs())
  }

  /** Concurrent calls that a pool can take, as last announced. */
  limitOf (pool: string): number | undefined {
    return this.#shortages.limitOf(pool)
  }

  /** Whether this box is the coordinator of a pool, according to its own view of the members. */
  isCoordinator (pool: string): boolean {
    return this.#coordinatorsOf(pool)[0]?.incarnation === this.#opts.self().incarnation
  }

  async acquire (request: PoolRequest, avoid: readonly string[], signal: AbortSignal): Promise<SlotAnswer> {
    const { pool, account, urgency, inTimeMs, usefulMs, returnId } = request
    const label = this.#createLabel(usefulMs)
    const call: PoolCall = { label, account, urgency, inTimeMs, usefulMs: Math.max(0, usefulMs), avoid: [...avoid], returnId: returnId() }
    const answered = await this.#askCoordinators(pool, call, this.#coordinatorsOf(pool), signal)
    if (!answered) return this.#decideAlone(request)
    const { answer, coordinator } = answered
    if (answer.outcome === PoolOutcome.Refused) return { decision: SlotDecision.Refused, retryAfterMs: answer.retryAfterMs ?? OWN_REFUSAL_RETRY_MS, overShare: answer.overShare, decidedBy: coordinator.name }
    if (answer.outcome !== PoolOutcome.Granted || answer.upstream === undefined) return { decision: SlotDecision.OwnChoice }
    return { decision: SlotDecision.Granted, slot: this.#createSlot(pool, { label, upstream: answer.upstream, startedAtMs: this.#opts.clock.nowMs(), countedBy: coordinator }, account) }
  }

  track ({ pool, account, usefulMs }: PoolRequest, upstream: string): PoolSlot {
    return this.#createSlot(pool, { label: this.#createLabel(usefulMs), upstream, startedAtMs: this.#opts.clock.nowMs() }, account)
  }

  recordAnswer (pool: string, upstream: string, call: CallDuration): void {
    const detector = this.#detectors.get(pool) ?? new ShortageDetector()
    this.#detectors.set(pool, detector)
    if (detector.record(upstream, call, this.#opts.clock.nowMs())) this.#reportShortage(pool)
  }

  recordFull (pool: string): void {
    this.#reportShortage(pool)
  }

  /** Adds reports of other boxes and forwards those that are new. */
  receive (shortages: readonly PoolShortage[]): void {
    this.#opts.broadcast(shortages.filter((shortage) => this.#add(shortage)))
  }

  /** Another box asks this one as the coordinator of a pool, so the pool is short. */
  recordAsked (pool: string): void {
    if (!this.isShort(pool)) this.#add({ pool, forMs: SHORT_FOR_MS, ageMs: 0 })
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  #reportShortage (pool: string, limit?: number): void {
    const shortage = { pool, limit, forMs: SHORT_FOR_MS, ageMs: 0 }
    if (this.#add(shortage)) this.#opts.broadcast([shortage])
  }

  #add (shortage: PoolShortage): boolean {
    const { clock, isEnabled, onShortageStarted } = this.#opts
    if (isEnabled?.() === false) return false
    const wasShort = this.isShort(shortage.pool)
    const added = this.#shortages.add(shortage, clock.nowMs())
    if (added && !wasShort) onShortageStarted?.(shortage.pool)
    if (added) this.#watchEnd(shortage.pool)
    return added
  }

  /** Extends the shortage of a pool that this box coordinates while it lasts, and cleans up after its end. */
  #watchEnd (pool: string): void {
    if (this.#watched.has(pool)) return
    this.#watched.add(pool)
    this.#tasks.run(async () => {
      const { clock, coordinator, onShortageEnded } = this.#opts
      while (this.isShort(pool) && !this.#tasks.stopped) {
        await clock.sleep(Math.min(EXTEND_INTERVAL_MS, this.#shortages.remainingMs(pool, clock.nowMs())), { signal: this.#tasks.signal })
        if (coordinator.isShort(pool)) this.#reportShortage(pool, coordinator.limitOf(pool))
      }
      if (this.#tasks.stopped) return
      this.#watched.delete(pool)
      this.#reportedTo.delete(pool)
      this.#shares.delete(pool)
      coordinator.forget(pool)
      onShortageEnded?.(pool, this.#shortages.remove(pool, clock.nowMs()))
    })
  }

  /** Acts within an even share of what the pool can take. Without an announced limit, as if the pool were not short. */
  #decideAlone ({ pool, account }: PoolRequest): SlotAnswer {
    const { clock, members, self } = this.#opts
    const limit = this.#shortages.limitOf(pool)
    const overShare = this.#shares.get(pool)?.isOverShare(account, clock.nowMs()) ?? false
    const evenShare = limit === undefined ? Number.POSITIVE_INFINITY : SHARE_FACTOR * limit / Math.max(1, members().length)
    if ((this.#running.get(pool)?.size ?? 0) < Math.max(1, overShare ? OVER_SHARE_PART * evenShare : evenShare)) return { decision: SlotDecision.OwnChoice }
    return { decision: SlotDecision.Refused, retryAfterMs: OWN_REFUSAL_RETRY_MS, overShare, decidedBy: self().name }
  }

  async #askCoordinators (pool: string, call: PoolCall, [coordinator, ...others]: readonly Member[], signal: AbortSignal): Promise<{ answer: PoolAnswer, coordinator: Member } | undefined> {
    if (!coordinator) return undefined
    const answer = this.#unansweredBy(coordinator) ? undefined : await this.#askUntilDecided(pool, call, coordinator, signal)
    if (answer) return { answer, coordinator }
    return this.#unansweredBy(coordinator)?.exited && !signal.aborted ? this.#askCoordinators(pool, call, others, signal) : undefined
  }

  /** Asks again under the same label while the call waits. Withdraws it if the caller disconnects. */
  async #askUntilDecided (pool: string, call: PoolCall, coordinator: Member, signal: AbortSignal): Promise<PoolAnswer | undefined> {
    const startedAtMs = this.#opts.clock.nowMs()
    for (;;) {
      const answer = await this.#ask(pool, agedCall(call, this.#opts.clock.nowMs() - startedAtMs), coordinator)
      if (signal.aborted && answer) this.#withdraw(pool, call, coordinator)
      if (signal.aborted) return undefined
      if (answer?.outcome !== PoolOutcome.Waiting) return answer
    }
  }

  async #ask (pool: string, call: PoolCall, coordinator: Member): Promise<PoolAnswer | undefined> {
    const { clock, coordinator: own, link, self } = this.#opts
    const running = this.#unreportedCalls(pool, coordinator)
    if (coordinator.incarnation === self().incarnation) return own.acquire(pool, call, running)
    try {
      const message = await link.call(coordinator.peerAddress, { type: MessageType.PoolAcquire, pool, call, running }, { timeoutMs: COORDINATOR_TIMEOUT_MS, repeatable: false })
      return message.type === MessageType.PoolAcquired ? message.answer : undefined
    } catch (thrown) {
      // The link logs the failure.
      const exited = thrown instanceof PeerLinkError && thrown.refused
      this.#unanswered.set(coordinator.incarnation, { untilMs: clock.nowMs() + SKIP_UNANSWERED_MS, exited })
      this.#reportedTo.delete(pool)
      if (thrown instanceof PeerLinkError && thrown.mayHaveArrived) this.#withdraw(pool, call, coordinator)
      return undefined
    }
  }

  /** Ends a call at the coordinator that was not sent. */
  #withdraw (pool: string, { label }: PoolCall, countedBy: Member): void {
    this.#sendRelease(pool, { label, countedBy }, PoolCallOutcome.NotSent)
  }

  /** This box's calls in flight, for a coordinator that does not know them. */
  #unreportedCalls (pool: string, coordinator: Member) {
    if (this.#reportedTo.get(pool) === coordinator.incarnation) return undefined
    this.#reportedTo.set(pool, coordinator.incarnation)
    const nowMs = this.#opts.clock.nowMs()
    const calls = [...this.#running.get(pool)?.values() ?? []]
    calls.forEach((tracked) => { tracked.countedBy = coordinator })
    return calls.map(({ label, upstream, startedAtMs }) => ({ label, upstream, ageMs: nowMs - startedAtMs }))
  }

  #createSlot (pool: string, tracked: TrackedCall, account: string): PoolSlot {
    const calls = this.#running.get(pool) ?? new Map<string, TrackedCall>()
    const key = holdLabelKey(tracked.label)
    this.#running.set(pool, calls)
    calls.set(key, tracked)
    return {
      upstream: tracked.upstream,
      release: (outcome, durationMs) => {
        if (!calls.delete(key)) return
        if (durationMs !== undefined && this.isShort(pool)) this.#charge(pool, account, durationMs)
        this.#sendRelease(pool, tracked, outcome, durationMs)
      },
    }
  }

  #charge (pool: string, account: string, durationMs: number): void {
    const { clock, weightOf } = this.#opts
    const shares = this.#shares.get(pool) ?? new ClientShares()
    this.#shares.set(pool, shares)
    shares.charge(account, durationMs, weightOf(account), clock.nowMs())
  }

  #sendRelease (pool: string, { label, countedBy }: Pick<TrackedCall, 'label' | 'countedBy'>, outcome: PoolCallOutcome, durationMs?: number): void {
    const { coordinator, link, self } = this.#opts
    if (!countedBy) return
    if (countedBy.incarnation === self().incarnation) return coordinator.release(pool, label, outcome, durationMs)
    // The link logs a failure. The coordinator drops the call at its deadline.
    link.call(countedBy.peerAddress, { type: MessageType.PoolRelease, pool, label, outcome, durationMs }, { timeoutMs: RELEASE_TIMEOUT_MS, repeatable: true }).catch(() => {})
  }

  #createLabel (usefulMs: number): HoldLabel {
    const { peerAddress, incarnation } = this.#opts.self()
    return { ownerAddress: peerAddress, ownerIncarnation: incarnation, requestId: String(this.#sequence++), maxHoldMs: Math.max(0, usefulMs) }
  }

  #unansweredBy ({ incarnation }: Member): UnansweredCall | undefined {
    const unanswered = this.#unanswered.get(incarnation)
    if (!unanswered || unanswered.untilMs > this.#opts.clock.nowMs()) return unanswered
    this.#unanswered.delete(incarnation)
    return undefined
  }

  #coordinatorsOf (pool: string): readonly Member[] {
    const members = this.#opts.members()
    if (members !== this.#coordinatorsAmong) {
      this.#coordinatorsAmong = members
      this.#coordinators.clear()
    }
    const known = this.#coordinators.get(pool)
    if (known) return known
    const coordinators = rankByRendezvous(`pool|${pool}`, [...members], ({ incarnation }) => incarnation).slice(0, COORDINATOR_CANDIDATES)
    this.#coordinators.set(pool, coordinators)
    return coordinators
  }
}

function agedCall (call: PoolCall, ageMs: number): PoolCall {
  return { ...call, inTimeMs: call.inTimeMs - ageMs, usefulMs: Math.max(0, call.usefulMs - ageMs) }
}
