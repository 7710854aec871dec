import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { type LimitSaying } from '@reelspan/core.messages'
import { NewsBook, TellRate } from '@reelspan/membership.prober'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type AnswerSaid, type StatedLimit } from '@reelspan/upstream.client'

export interface StatedLimitsOptions {
  clock: Clock
  log: Log
  /** Whether the list has an upstream. */
  isListed: (upstream: string) => boolean
  /** An answer to this box has changed what is believed, which other boxes are to be told. */
  onChanged?: (saying: LimitSaying) => void
}

/** What is believed of one upstream's limit. */
interface Belief {
  /** Requests a second. Nothing when it names no limit any more. */
  perSecond?: number
  /** When it said so, on this box's clock. */
  saidAtMs: number
}

/** A text that cannot be read is told of at most so often for each upstream. */
const UNREADABLE_EVERY_MS = 60_000
/** Enough of it to recognise what was meant. */
const MOST_TEXT_LENGTH = 40
/** Entries of the list come and go by seconds while its store is away; what has not been there for longer is gone. */
const UNLISTED_LIFE_MS = 60_000
/** That a limit ended is remembered for longer than boxes are usually cut off, whose older news would bring it back. */
const ENDED_LIFE_MS = 60_000
/** More than the upstreams of any deployment that is planned for. */
const MOST_KNOWN = 4000

/**
 * The limits that upstreams name in their answers, to this box or to any other. Each belief is
 * about one start of an upstream: the next one has another name and owes nothing. The later saying counts.
 */
export class StatedLimits extends NewsBook<LimitSaying> {
  readonly #opts: StatedLimitsOptions
  readonly #beliefs = new Map<string, Belief>()
  readonly #unreadableAtMs = new Map<string, number>()
  /** Some upstreams name another limit in each answer. */
  readonly #tellRate = new TellRate()
  #digest = 0

  constructor (opts: StatedLimitsOptions) {
    super()
    this.#opts = opts
  }

  get digest (): number {
    return this.#digest
  }

  get comparable (): boolean {
    return this.#beliefs.size < MOST_KNOWN
  }

  /** How many upstreams name a limit. */
  get count (): number {
    return [...this.#beliefs.values()].filter(({ perSecond }) => perSecond !== undefined).length
  }

  /** Requests a second that an upstream takes from all boxes together; nothing where it names no limit. */
  perSecond (upstream: string): number | undefined {
    return this.#beliefs.get(upstream)?.perSecond
  }

  /** What is believed of an upstream, as it is told to others. */
  sayingOf (upstream: string): LimitSaying | undefined {
    const belief = this.#beliefs.get(upstream)
    return belief && { upstream, perSecond: belief.perSecond, ageMs: Math.max(0, this.#opts.clock.nowMs() - belief.saidAtMs) }
  }

  /**
   * Takes in what an answer to this box says.
   *
   * @param sentAtMs when its request was sent
   */
  noteAnswer (upstream: string, { succeeded, limit }: AnswerSaid, sentAtMs: number): void {
    if (limit && limit.perSecond === undefined) return this.#noteUnreadable(upstream, limit)
    // An answer without a limit ends one only if it was asked for since the limit was named: answers overtake each other.
    if (!limit && !(succeeded && this.#endsLimit(upstream, sentAtMs))) return
    const changed = this.#believe(upstream, { perSecond: limit?.perSecond, saidAtMs: this.#opts.clock.nowMs() })
    const saying = this.sayingOf(upstream)
    if (changed && saying && this.mayTell(saying)) this.#opts.onChanged?.(saying)
  }

  /** Takes in what another box was told. */
  add ({ upstream, perSecond, ageMs }: LimitSaying): boolean {
    const known = this.#beliefs.get(upstream)
    const saidAtMs = this.#opts.clock.nowMs() - ageMs
    if (known ? saidAtMs <= known.saidAtMs : perSecond === undefined || !this.comparable) return false
    if (ageMs > UNLISTED_LIFE_MS && !this.#opts.isListed(upstream)) return false
    return this.#believe(upstream, { perSecond, saidAtMs })
  }

  all (): LimitSaying[] {
    return [...this.#beliefs.keys()].flatMap((upstream) => this.sayingOf(upstream) ?? [])
  }

  /** Whether others are told of a saying now; digests tell them of the rest. */
  mayTell ({ upstream }: LimitSaying): boolean {
    return this.#tellRate.take(upstream, this.#opts.clock.nowMs())
  }

  expire (): void {
    const nowMs = this.#opts.clock.nowMs()
    const isOver = ([upstream, { perSecond, saidAtMs }]: [string, Belief]) => perSecond === undefined
      ? nowMs - saidAtMs > ENDED_LIFE_MS
      : nowMs - saidAtMs > UNLISTED_LIFE_MS && !this.#opts.isListed(upstream);
    [...this.#beliefs].filter(isOver).forEach(([upstream]) => this.#forget(upstream))
  }

  #endsLimit (upstream: string, sentAtMs: number): boolean {
    const known = this.#beliefs.get(upstream)
    return known?.perSecond !== undefined && sentAtMs > known.saidAtMs
  }

  /** Answers whether it is another limit than before. */
  #believe (upstream: string, belief: Belief): boolean {
    const before = this.perSecond(upstream)
    this.#beliefs.set(upstream, belief)
    if (before === belief.perSecond) return false
    this.#digest ^= digestOf(upstream, before) ^ digestOf(upstream, belief.perSecond)
    this.#opts.log.info(LogEvent.UpstreamLimitChanged, { upstream, perSecond: belief.perSecond, perSecondBefore: before })
    return true
  }

  #forget (upstream: string): void {
    this.#digest ^= digestOf(upstream, this.perSecond(upstream))
    this.#beliefs.delete(upstream)
    this.#unreadableAtMs.delete(upstream)
    this.#tellRate.forget(upstream)
  }

  /** What it means is not known, so what was believed before holds. */
  #noteUnreadable (upstream: string, { text }: StatedLimit): void {
    const nowMs = this.#opts.clock.nowMs()
    if (nowMs - (this.#unreadableAtMs.get(upstream) ?? Number.NEGATIVE_INFINITY) < UNREADABLE_EVERY_MS) return
    this.#unreadableAtMs.set(upstream, nowMs)
    this.#opts.log.warn(LogEvent.UpstreamLimitUnreadable, { upstream, text: text.slice(0, MOST_TEXT_LENGTH) })
  }
}

/** An upstream's part of the digest. */
function digestOf (upstream: string, perSecond?: number): number {
  return perSecond === undefined ? 0 : hash32(`${upstream} ${perSecond}`)
}
