import { type PoolShortage } from '@reelspan/core.messages'

/** A report that extends a known shortage by less is not passed on, so that one report per this time spreads, whoever sends it. */
const MIN_EXTENSION_MS = 500

interface KnownShortage {
  sinceMs: number
  untilMs: number
  limit?: number
}

/** The pools that this box knows as short of capacity. */
export class PoolShortages {
  readonly #known = new Map<string, KnownShortage>()

  isShort (pool: string, nowMs: number): boolean {
    const known = this.#known.get(pool)
    return known !== undefined && nowMs < known.untilMs
  }

  /** Concurrent calls that the pool can take, as last announced. */
  limitOf (pool: string): number | undefined {
    return this.#known.get(pool)?.limit
  }

  remainingMs (pool: string, nowMs: number): number {
    return Math.max(0, (this.#known.get(pool)?.untilMs ?? nowMs) - nowMs)
  }

  /** Adds a report. Returns whether it must be forwarded to other boxes. */
  add ({ pool, limit, forMs, ageMs }: PoolShortage, nowMs: number): boolean {
    const untilMs = nowMs - ageMs + forMs
    const known = this.#known.get(pool)
    if (untilMs < (known?.untilMs ?? nowMs) + MIN_EXTENSION_MS) return false
    this.#known.set(pool, { sinceMs: known?.sinceMs ?? nowMs, untilMs, limit: limit ?? known?.limit })
    return true
  }

  /** Forgets a pool. Returns how long it was short. */
  remove (pool: string, nowMs: number): number {
    const sinceMs = this.#known.get(pool)?.sinceMs ?? nowMs
    this.#known.delete(pool)
    return nowMs - sinceMs
  }
}
