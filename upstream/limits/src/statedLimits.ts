import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type AnswerSaid, type StatedLimit } from '@reelspan/upstream.client'

export interface StatedLimitsOptions {
  clock: Clock
  log: Log
}

/** What is believed of one upstream's limit. */
interface Belief {
  /** Requests a second. Nothing when it names no limit any more. */
  perSecond?: number
  /** When an answer said so, on this box's clock. */
  saidAtMs: number
}

/** A text that cannot be read is told of at most so often for each upstream. */
const UNREADABLE_EVERY_MS = 60_000
/** Enough of it to recognise what was meant. */
const MOST_TEXT_LENGTH = 40

/** The limits that upstreams name in their answers. Each belief is about one start of an upstream: the next one has another name. */
export class StatedLimits {
  readonly #opts: StatedLimitsOptions
  readonly #beliefs = new Map<string, Belief>()
  readonly #unreadableAtMs = new Map<string, number>()

  constructor (opts: StatedLimitsOptions) {
    this.#opts = opts
  }

  /** Requests a second that an upstream takes from all boxes together; nothing where it names no limit. */
  perSecond (upstream: string): number | undefined {
    return this.#beliefs.get(upstream)?.perSecond
  }

  /** How many upstreams name a limit. */
  get count (): number {
    return [...this.#beliefs.values()].filter(({ perSecond }) => perSecond !== undefined).length
  }

  /**
   * Takes in what an answer says.
   *
   * @param sentAtMs when its request was sent
   */
  noteAnswer (upstream: string, { succeeded, limit }: AnswerSaid, sentAtMs: number): void {
    if (limit && limit.perSecond === undefined) return this.#noteUnreadable(upstream, limit)
    // An answer without a limit ends one only if it was asked for since the limit was named: answers overtake each other.
    if (!limit && !(succeeded && this.#endsLimit(upstream, sentAtMs))) return
    this.#believe(upstream, { perSecond: limit?.perSecond, saidAtMs: this.#opts.clock.nowMs() })
  }

  /** Forgets upstreams that are gone. */
  retain (names: ReadonlySet<string>): void {
    [this.#beliefs, this.#unreadableAtMs].forEach((known) => [...known.keys()].filter((name) => !names.has(name)).forEach((name) => known.delete(name)))
  }

  #endsLimit (upstream: string, sentAtMs: number): boolean {
    const known = this.#beliefs.get(upstream)
    return known?.perSecond !== undefined && sentAtMs > known.saidAtMs
  }

  #believe (upstream: string, belief: Belief): void {
    const before = this.perSecond(upstream)
    this.#beliefs.set(upstream, belief)
    if (before !== belief.perSecond) this.#opts.log.info(LogEvent.UpstreamLimitChanged, { upstream, perSecond: belief.perSecond, perSecondBefore: before })
  }

  /** What it means is not known, so what was believed before holds. */
  #noteUnreadable (upstream: string, { text }: StatedLimit): void {
    const nowMs = this.#opts.clock.nowMs()
    if (nowMs - (this.#unreadableAtMs.get(upstream) ?? Number.NEGATIVE_INFINITY) < UNREADABLE_EVERY_MS) return
    this.#unreadableAtMs.set(upstream, nowMs)
    this.#opts.log.warn(LogEvent.UpstreamLimitUnreadable, { upstream, text: text.slice(0, MOST_TEXT_LENGTH) })
  }
}
