import { type Clock } from '@reelspan/core.env'

export interface RetryTimesOptions {
  clock: Clock
  /** Number of boxes that refuse callers for the same limits, including this one. */
  boxCount: () => number
}

const MS_PER_SECOND = 1000
/** Callers are never told to wait longer. */
const MAX_DELAY_MS = 30_000
/** Callers refused during a wait retry within this time after its end. */
const MAX_SPREAD_MS = 1000

/** An interval during which callers of a pool are refused. */
interface RefusalInterval {
  startMs: number
  endMs: number
}

/**
 * Computes retry delays for callers that were refused because no permit was available. Retries are spaced at the rate
 * at which permits become available for this box's share of the callers. If all callers were given the time of the next
 * permit, they would retry at once for a single permit.
 */
export class RetryTimes {
  readonly #opts: RetryTimesOptions
  readonly #lastRetryAtMs = new Map<string, number>()
  readonly #refusalIntervals = new Map<string, RefusalInterval>()

  constructor (opts: RetryTimesOptions) {
    this.#opts = opts
  }

  /**
   * Schedules a retry at the rate of the permits and returns the delay.
   *
   * @param pool the pool whose upstreams have no permit left
   * @param perSecond the sum of the rate limits of these upstreams
   * @param earliestMs time until the first of them has a permit again
   */
  scheduleAtRate (pool: string, perSecond: number, earliestMs: number): number {
    const nowMs = this.#opts.clock.nowMs()
    const spacingMs = perSecond > 0 ? MS_PER_SECOND * Math.max(1, this.#opts.boxCount()) / perSecond : MAX_DELAY_MS
    const lastAtMs = this.#lastRetryAtMs.get(pool) ?? Number.NEGATIVE_INFINITY
    const atMs = Math.min(nowMs + MAX_DELAY_MS, Math.max(nowMs + earliestMs, lastAtMs + spacingMs))
    this.#lastRetryAtMs.set(pool, atMs)
    return atMs - nowMs
  }

  /**
   * Schedules a retry after a wait that ends for all callers at once and returns the delay. The first caller that is
   * refused retries at its end, later ones after it, spread over a time no longer than the wait.
   *
   * @param pool the pool whose upstreams accept no requests until then
   */
  scheduleAfterWait (pool: string, waitMs: number): number {
    const nowMs = this.#opts.clock.nowMs()
    const known = this.#refusalIntervals.get(pool)
    const refusal = { startMs: known && nowMs < known.endMs ? known.startMs : nowMs, endMs: nowMs + waitMs }
    this.#refusalIntervals.set(pool, refusal)
    const durationMs = refusal.endMs - refusal.startMs
    const spreadMs = durationMs > 0 ? Math.min(MAX_SPREAD_MS, durationMs) * (nowMs - refusal.startMs) / durationMs : 0
    return Math.min(MAX_DELAY_MS, waitMs + spreadMs)
  }
}
