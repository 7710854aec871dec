import { type Clock } from '@reelspan/core.env'

export interface ReturnTimesOptions {
  clock: Clock
  /** Boxes that refuse callers for the same limits, this one included. */
  boxCount: () => number
}

const MS_PER_SECOND = 1000
/** Callers do not wait for longer. */
const LONGEST_MS = 30_000
/** Callers that were refused during a wait return within this time after it. */
const MAX_SPREAD_MS = 1000

/** A time in which callers of a pool are refused. */
interface RefusingSpan {
  startMs: number
  endMs: number
}

/**
 * When callers that were refused for want of a permit come back: one after the other, as permits come for this
 * box's part of them. Told of the next permit alone, all would come for the same one.
 */
export class ReturnTimes {
  readonly #opts: ReturnTimesOptions
  readonly #lastAtMs = new Map<string, number>()
  readonly #spans = new Map<string, RefusingSpan>()

  constructor (opts: ReturnTimesOptions) {
    this.#opts = opts
  }

  /**
   * Books a time to return.
   *
   * @param pool whose upstreams have no permit left
   * @param perSecond what these upstreams take together
   * @param soonestMs until the first of them has a permit again
   */
  book (pool: string, perSecond: number, soonestMs: number): number {
    const nowMs = this.#opts.clock.nowMs()
    const everyMs = perSecond > 0 ? MS_PER_SECOND * Math.max(1, this.#opts.boxCount()) / perSecond : LONGEST_MS
    const lastAtMs = this.#lastAtMs.get(pool) ?? Number.NEGATIVE_INFINITY
    const atMs = Math.min(nowMs + LONGEST_MS, Math.max(nowMs + soonestMs, lastAtMs + everyMs))
    this.#lastAtMs.set(pool, atMs)
    return atMs - nowMs
  }

  /**
   * Books a time to return after a wait that ends for all callers at once. The first caller that is refused
   * returns at its end, later ones after it, spread over a time no longer than the wait.
   *
   * @param pool whose upstreams take nothing until then
   */
  bookAfter (pool: string, waitMs: number): number {
    const nowMs = this.#opts.clock.nowMs()
    const known = this.#spans.get(pool)
    const span = { startMs: known && nowMs < known.endMs ? known.startMs : nowMs, endMs: nowMs + waitMs }
    this.#spans.set(pool, span)
    const durationMs = span.endMs - span.startMs
    const spreadMs = durationMs > 0 ? Math.min(MAX_SPREAD_MS, durationMs) * (nowMs - span.startMs) / durationMs : 0
    return Math.min(LONGEST_MS, waitMs + spreadMs)
  }
}
