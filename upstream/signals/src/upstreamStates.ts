import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { type UpstreamStateUpdate } from '@reelspan/core.messages'
import { NewsBook, TellRate } from '@reelspan/membership.prober'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type UpstreamSignals } from '@reelspan/upstream.client'

export interface UpstreamStatesOptions {
  clock: Clock
  log: Log
  /** Whether an upstream is in the fleet list. */
  isListed: (upstream: string) => boolean
  /** Called with a change that this box observed itself, for other boxes. */
  onChanged?: (update: UpstreamStateUpdate) => void
}

/** What one upstream advertised last. */
interface AdvertisedState {
  /** Requests a second. Undefined when it no longer advertises a limit. */
  perSecond?: number
  /** It leaves, and does not come back as this incarnation. */
  draining: boolean
  /** On this box's clock. */
  observedAtMs: number
}

/** How long the state of an unlisted upstream is kept, since entries lapse while the platform is away. */
const UNLISTED_LIFE_MS = 60_000
/** How long the end of a limit is kept, so that an older update from a partitioned box does not restore it. */
const ENDED_LIFE_MS = 60_000
/** Above the number of upstreams of the largest planned deployment. */
const MOST_KNOWN = 4000

/**
 * State that upstreams advertise in their responses, to this box or to any other. It belongs to one
 * incarnation of an upstream. The latest observation wins.
 */
export class UpstreamStates extends NewsBook<UpstreamStateUpdate> {
  readonly #opts: UpstreamStatesOptions
  readonly #states = new Map<string, AdvertisedState>()
  /** Some upstreams advertise another limit in each response. */
  readonly #broadcastRate = new TellRate()
  #digest = 0

  constructor (opts: UpstreamStatesOptions) {
    super()
    this.#opts = opts
  }

  get digest (): number {
    return this.#digest
  }

  get comparable (): boolean {
    return this.#states.size < MOST_KNOWN
  }

  /** How many upstreams advertise a limit. */
  get count (): number {
    return [...this.#states.values()].filter(({ perSecond }) => perSecond !== undefined).length
  }

  /** Requests a second that an upstream takes from all boxes together; undefined where it advertises no limit. */
  perSecond (upstream: string): number | undefined {
    return this.#states.get(upstream)?.perSecond
  }

  /** How many upstreams advertise that they are draining. */
  get drainingCount (): number {
    return [...this.#states.values()].filter(({ draining }) => draining).length
  }

  /** Whether an upstream advertised that it is draining. */
  isDraining (upstream: string): boolean {
    return this.#states.get(upstream)?.draining === true
  }

  /** The state of an upstream, for other boxes. */
  updateOf (upstream: string): UpstreamStateUpdate | undefined {
    const state = this.#states.get(upstream)
    return state && { upstream, perSecond: state.perSecond, ageMs: Math.max(0, this.#opts.clock.nowMs() - state.observedAtMs) }
  }

  /**
   * Records what a response to this box advertised.
   *
   * @param sentAtMs when its request was sent
   */
  observe (upstream: string, { succeeded, rateLimit, draining }: UpstreamSignals, sentAtMs: number): void {
    if (draining?.draining) this.#noteDraining(upstream)
    if (rateLimit && rateLimit.perSecond === undefined) return
    // Responses overtake each other, so only one to a later request ends a limit.
    if (!rateLimit && !(succeeded && this.#endsLimit(upstream, sentAtMs))) return
    const changed = this.#update(upstream, { perSecond: rateLimit?.perSecond, draining: this.isDraining(upstream), observedAtMs: this.#opts.clock.nowMs() })
    const update = this.updateOf(upstream)
    if (changed && update && this.mayTell(update)) this.#opts.onChanged?.(update)
  }

  /** Records the observation of another box. Answers whether it changed the state. */
  add ({ upstream, perSecond, ageMs }: UpstreamStateUpdate): boolean {
    const known = this.#states.get(upstream)
    const observedAtMs = this.#opts.clock.nowMs() - ageMs
    if (known ? observedAtMs <= known.observedAtMs : perSecond === undefined || !this.comparable) return false
    if (ageMs > UNLISTED_LIFE_MS && !this.#opts.isListed(upstream)) return false
    return this.#update(upstream, { perSecond, draining: this.isDraining(upstream), observedAtMs })
  }

  all (): UpstreamStateUpdate[] {
    return [...this.#states.keys()].flatMap((upstream) => this.updateOf(upstream) ?? [])
  }

  /** Whether an update is broadcast now; digests cover the rest. */
  mayTell ({ upstream }: UpstreamStateUpdate): boolean {
    return this.#broadcastRate.take(upstream, this.#opts.clock.nowMs())
  }

  expire (): void {
    const nowMs = this.#opts.clock.nowMs()
    const isOver = ([upstream, { perSecond, draining, observedAtMs }]: [string, AdvertisedState]) => perSecond === undefined && !draining
      ? nowMs - observedAtMs > ENDED_LIFE_MS
      : nowMs - observedAtMs > UNLISTED_LIFE_MS && !this.#opts.isListed(upstream);
    [...this.#states].filter(isOver).forEach(([upstream]) => this.#forget(upstream))
  }

  #endsLimit (upstream: string, sentAtMs: number): boolean {
    const known = this.#states.get(upstream)
    return known?.perSecond !== undefined && sentAtMs > known.observedAtMs
  }

  /** Answers whether the limit changed. */
  #update (upstream: string, state: AdvertisedState): boolean {
    const before = this.perSecond(upstream)
    this.#states.set(upstream, state)
    if (before === state.perSecond) return false
    this.#digest ^= digestOf(upstream, before) ^ digestOf(upstream, state.perSecond)
    this.#opts.log.info(LogEvent.UpstreamLimitChanged, { upstream, perSecond: state.perSecond, perSecondBefore: before })
    return true
  }

  #forget (upstream: string): void {
    this.#digest ^= digestOf(upstream, this.perSecond(upstream))
    this.#states.delete(upstream)
    this.#broadcastRate.forget(upstream)
  }

  #noteDraining (upstream: string): void {
    if (this.isDraining(upstream)) return
    this.#states.set(upstream, { perSecond: this.perSecond(upstream), draining: true, observedAtMs: this.#opts.clock.nowMs() })
    this.#opts.log.info(LogEvent.UpstreamDraining, { upstream })
  }
}

/** An upstream's part of the digest. */
function digestOf (upstream: string, perSecond?: number): number {
  return perSecond === undefined ? 0 : hash32(`${upstream} ${perSecond}`)
}
