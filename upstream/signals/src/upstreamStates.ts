import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { type UpstreamStateUpdate } from '@reelspan/core.messages'
import { UpdateStore, AnnouncementLimiter } from '@reelspan/membership.prober'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type UpstreamSignals } from '@reelspan/upstream.client'

export interface UpstreamStatesOptions {
  clock: Clock
  log: Log
  /** Earliest possible arrival of what this process reads now, which may have been held up since. By default it has just arrived. */
  earliestArrivalMs?: () => number
  /** Whether an upstream is in the fleet list. */
  isListed: (upstream: string) => boolean
  /** Called with a change that this box observed itself, for other boxes. */
  onChanged?: (update: UpstreamStateUpdate) => void
  /** Called when an upstream starts draining, whichever box observed it. */
  onDraining?: () => void
}

/** The state that an upstream advertised last. */
interface AdvertisedState {
  /** Requests a second. Undefined when it no longer advertises a limit. */
  perSecond?: number
  /** Never reset for the same incarnation. */
  draining: boolean
  /** When the limit was last observed, on this box's clock. */
  observedAtMs: number
}

/** TTL of the state of an unlisted upstream. List entries may expire while the platform is unavailable. */
const UNLISTED_TTL_MS = 60_000
/** TTL of the record that a limit has ended, so that an older update from a partitioned box does not restore the limit. */
const ENDED_LIMIT_TTL_MS = 60_000
/** Above the number of upstreams of the largest planned deployment. */
const MAX_UPSTREAMS = 4000

/**
 * States that upstreams advertise in their responses, as observed by any box. A state belongs to one
 * incarnation of an upstream. The latest observation of a limit wins.
 */
export class UpstreamStates extends UpdateStore<UpstreamStateUpdate> {
  readonly #opts: UpstreamStatesOptions
  readonly #states = new Map<string, AdvertisedState>()
  /** Limits broadcasts, since some upstreams advertise a different limit in each response. */
  readonly #broadcastRate = new AnnouncementLimiter()
  #digest = 0
  #drainingRevision = 0

  constructor (opts: UpstreamStatesOptions) {
    super()
    this.#opts = opts
  }

  get digest (): number {
    return this.#digest
  }

  get comparable (): boolean {
    return this.#states.size < MAX_UPSTREAMS
  }

  /** Number of upstreams that advertise a limit. */
  get count (): number {
    return [...this.#states.values()].filter(({ perSecond }) => perSecond !== undefined).length
  }

  /** Number of upstreams that advertise that they are draining. */
  get drainingCount (): number {
    return [...this.#states.values()].filter(({ draining }) => draining).length
  }

  /** Incremented whenever the set of draining upstreams changes. */
  get drainingRevision (): number {
    return this.#drainingRevision
  }

  /** Rate limit of an upstream for all boxes together, in requests per second; undefined if it advertises none. */
  perSecond (upstream: string): number | undefined {
    return this.#states.get(upstream)?.perSecond
  }

  /** Whether an upstream advertised that it is draining. */
  isDraining (upstream: string): boolean {
    return this.#states.get(upstream)?.draining === true
  }

  /** The state of an upstream as an update for other boxes. */
  updateOf (upstream: string): UpstreamStateUpdate | undefined {
    const state = this.#states.get(upstream)
    if (!state) return undefined
    const { perSecond, draining, observedAtMs } = state
    return { upstream, perSecond, draining: draining || undefined, ageMs: Math.max(0, this.#opts.clock.nowMs() - observedAtMs) }
  }

  /**
   * Records the signals of a response to this box.
   *
   * @param sentAtMs when its request was sent
   */
  observe (upstream: string, signals: UpstreamSignals, sentAtMs: number): void {
    const draining = this.isDraining(upstream) || signals.draining?.draining === true
    const limit = this.#observedLimit(upstream, signals, sentAtMs)
    if (!limit && draining === this.isDraining(upstream)) return
    const changed = this.#update(upstream, { ...limit ?? this.#knownLimit(upstream), draining })
    const update = this.updateOf(upstream)
    if (changed && update && this.mayForward(update)) this.#opts.onChanged?.(update)
  }

  /** Records the observation of another box. Returns whether it changed the state. */
  add ({ upstream, perSecond, draining = false, ageMs }: UpstreamStateUpdate): boolean {
    const known = this.#states.get(upstream)
    if (!known && ((perSecond === undefined && !draining) || !this.comparable)) return false
    if (ageMs > UNLISTED_TTL_MS && !this.#opts.isListed(upstream)) return false
    const observedAtMs = this.#earliestArrivalMs() - ageMs
    const limit = known && observedAtMs <= known.observedAtMs ? known : { perSecond, observedAtMs }
    if (limit === known && (known.draining || !draining)) return false
    return this.#update(upstream, { perSecond: limit.perSecond, observedAtMs: limit.observedAtMs, draining: draining || this.isDraining(upstream) })
  }

  all (): UpstreamStateUpdate[] {
    return [...this.#states.keys()].flatMap((upstream) => this.updateOf(upstream) ?? [])
  }

  /** Whether an update may be broadcast now. Updates that are not are exchanged when digests differ. */
  mayForward ({ upstream }: UpstreamStateUpdate): boolean {
    return this.#broadcastRate.tryAcquire(upstream, this.#opts.clock.nowMs())
  }

  expire (): void {
    const nowMs = this.#opts.clock.nowMs()
    const isExpired = ([upstream, { perSecond, draining, observedAtMs }]: [string, AdvertisedState]) => perSecond === undefined && !draining
      ? nowMs - observedAtMs > ENDED_LIMIT_TTL_MS
      : nowMs - observedAtMs > UNLISTED_TTL_MS && !this.#opts.isListed(upstream);
    [...this.#states].filter(isExpired).forEach(([upstream]) => this.#remove(upstream))
  }

  /** The limit observed in a response; undefined if it carries no information or cannot be parsed. */
  #observedLimit (upstream: string, { succeeded, rateLimit }: UpstreamSignals, sentAtMs: number): Pick<AdvertisedState, 'perSecond' | 'observedAtMs'> | undefined {
    // Responses may arrive out of order, so only the response to a later request ends a limit.
    const isObserved = rateLimit ? rateLimit.perSecond !== undefined : succeeded && this.#endsLimit(upstream, sentAtMs)
    const observedAtMs = Math.max(sentAtMs, this.#earliestArrivalMs())
    // Other boxes may have observed a later limit while this response was unread.
    const isSuperseded = observedAtMs < (this.#states.get(upstream)?.observedAtMs ?? observedAtMs)
    return isObserved && !isSuperseded ? { perSecond: rateLimit?.perSecond, observedAtMs } : undefined
  }

  #earliestArrivalMs (): number {
    const { clock, earliestArrivalMs = () => clock.nowMs() } = this.#opts
    return earliestArrivalMs()
  }

  #knownLimit (upstream: string): Pick<AdvertisedState, 'perSecond' | 'observedAtMs'> {
    return this.#states.get(upstream) ?? { observedAtMs: this.#opts.clock.nowMs() }
  }

  #endsLimit (upstream: string, sentAtMs: number): boolean {
    const known = this.#states.get(upstream)
    return known?.perSecond !== undefined && sentAtMs > known.observedAtMs
  }

  /** Returns whether the limit or the draining state changed. */
  #update (upstream: string, { perSecond, draining, observedAtMs }: AdvertisedState): boolean {
    const before = this.#states.get(upstream)
    const state = { perSecond, draining, observedAtMs }
    this.#states.set(upstream, state)
    this.#digest ^= digestOf(upstream, before) ^ digestOf(upstream, state)
    const limitChanged = before?.perSecond !== perSecond
    const startsDraining = draining && !before?.draining
    if (limitChanged) this.#opts.log.info(LogEvent.UpstreamLimitChanged, { upstream, perSecond, perSecondBefore: before?.perSecond })
    if (startsDraining) this.#recordDraining(upstream)
    return limitChanged || startsDraining
  }

  #recordDraining (upstream: string): void {
    this.#drainingRevision++
    this.#opts.log.info(LogEvent.UpstreamDraining, { upstream })
    this.#opts.onDraining?.()
  }

  #remove (upstream: string): void {
    const state = this.#states.get(upstream)
    this.#digest ^= digestOf(upstream, state)
    if (state?.draining) this.#drainingRevision++
    this.#states.delete(upstream)
    this.#broadcastRate.forget(upstream)
  }
}

/** Contribution of an upstream to the digest. */
function digestOf (upstream: string, state?: AdvertisedState): number {
  if (!state || (state.perSecond === undefined && !state.draining)) return 0
  return hash32(`${upstream} ${state.perSecond} ${state.draining}`)
}
