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
  /** Called when an upstream is found to be draining, by whichever box. */
  onDraining?: () => void
}

/** What one upstream advertised last. */
interface AdvertisedState {
  /** Requests a second. Undefined when it no longer advertises a limit. */
  perSecond?: number
  /** Final for this incarnation. */
  draining: boolean
  /** When the limit was last observed, on this box's clock. */
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
 * incarnation of an upstream. Of limits the latest observation wins.
 */
export class UpstreamStates extends NewsBook<UpstreamStateUpdate> {
  readonly #opts: UpstreamStatesOptions
  readonly #states = new Map<string, AdvertisedState>()
  /** Some upstreams advertise another limit in each response. */
  readonly #broadcastRate = new TellRate()
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
    return this.#states.size < MOST_KNOWN
  }

  /** How many upstreams advertise a limit. */
  get count (): number {
    return [...this.#states.values()].filter(({ perSecond }) => perSecond !== undefined).length
  }

  /** How many upstreams advertise that they are draining. */
  get drainingCount (): number {
    return [...this.#states.values()].filter(({ draining }) => draining).length
  }

  /** Rises whenever another set of upstreams is draining. */
  get drainingRevision (): number {
    return this.#drainingRevision
  }

  /** Requests a second that an upstream takes from all boxes together; undefined where it advertises no limit. */
  perSecond (upstream: string): number | undefined {
    return this.#states.get(upstream)?.perSecond
  }

  /** Whether an upstream advertised that it is draining. */
  isDraining (upstream: string): boolean {
    return this.#states.get(upstream)?.draining === true
  }

  /** The state of an upstream, for other boxes. */
  updateOf (upstream: string): UpstreamStateUpdate | undefined {
    const state = this.#states.get(upstream)
    if (!state) return undefined
    const { perSecond, draining, observedAtMs } = state
    return { upstream, perSecond, draining: draining || undefined, ageMs: Math.max(0, this.#opts.clock.nowMs() - observedAtMs) }
  }

  /**
   * Records what a response to this box advertised.
   *
   * @param sentAtMs when its request was sent
   */
  observe (upstream: string, signals: UpstreamSignals, sentAtMs: number): void {
    const draining = this.isDraining(upstream) || signals.draining?.draining === true
    const limit = this.#observedLimit(upstream, signals, sentAtMs)
    if (!limit && draining === this.isDraining(upstream)) return
    const changed = this.#update(upstream, { ...limit ?? this.#knownLimit(upstream), draining })
    const update = this.updateOf(upstream)
    if (changed && update && this.mayTell(update)) this.#opts.onChanged?.(update)
  }

  /** Records the observation of another box. Answers whether it changed the state. */
  add ({ upstream, perSecond, draining = false, ageMs }: UpstreamStateUpdate): boolean {
    const known = this.#states.get(upstream)
    if (!known && ((perSecond === undefined && !draining) || !this.comparable)) return false
    if (ageMs > UNLISTED_LIFE_MS && !this.#opts.isListed(upstream)) return false
    const observedAtMs = this.#opts.clock.nowMs() - ageMs
    const limit = known && observedAtMs <= known.observedAtMs ? known : { perSecond, observedAtMs }
    if (limit === known && (known.draining || !draining)) return false
    return this.#update(upstream, { perSecond: limit.perSecond, observedAtMs: limit.observedAtMs, draining: draining || this.isDraining(upstream) })
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

  /** What a response says of the limit; undefined when that is nothing, or cannot be read. */
  #observedLimit (upstream: string, { succeeded, rateLimit }: UpstreamSignals, sentAtMs: number): Pick<AdvertisedState, 'perSecond' | 'observedAtMs'> | undefined {
    // Responses overtake each other, so only one to a later request ends a limit.
    const isSaid = rateLimit ? rateLimit.perSecond !== undefined : succeeded && this.#endsLimit(upstream, sentAtMs)
    return isSaid ? { perSecond: rateLimit?.perSecond, observedAtMs: this.#opts.clock.nowMs() } : undefined
  }

  #knownLimit (upstream: string): Pick<AdvertisedState, 'perSecond' | 'observedAtMs'> {
    return this.#states.get(upstream) ?? { observedAtMs: this.#opts.clock.nowMs() }
  }

  #endsLimit (upstream: string, sentAtMs: number): boolean {
    const known = this.#states.get(upstream)
    return known?.perSecond !== undefined && sentAtMs > known.observedAtMs
  }

  /** Answers whether limit or draining changed. */
  #update (upstream: string, { perSecond, draining, observedAtMs }: AdvertisedState): boolean {
    const before = this.#states.get(upstream)
    const state = { perSecond, draining, observedAtMs }
    this.#states.set(upstream, state)
    this.#digest ^= digestOf(upstream, before) ^ digestOf(upstream, state)
    const limitChanged = before?.perSecond !== perSecond
    const startsDraining = draining && !before?.draining
    if (limitChanged) this.#opts.log.info(LogEvent.UpstreamLimitChanged, { upstream, perSecond, perSecondBefore: before?.perSecond })
    if (startsDraining) this.#noteDraining(upstream)
    return limitChanged || startsDraining
  }

  #noteDraining (upstream: string): void {
    this.#drainingRevision++
    this.#opts.log.info(LogEvent.UpstreamDraining, { upstream })
    this.#opts.onDraining?.()
  }

  #forget (upstream: string): void {
    const state = this.#states.get(upstream)
    this.#digest ^= digestOf(upstream, state)
    if (state?.draining) this.#drainingRevision++
    this.#states.delete(upstream)
    this.#broadcastRate.forget(upstream)
  }
}

/** An upstream's part of the digest. */
function digestOf (upstream: string, state?: AdvertisedState): number {
  if (!state || (state.perSecond === undefined && !state.draining)) return 0
  return hash32(`${upstream} ${state.perSecond} ${state.draining}`)
}
