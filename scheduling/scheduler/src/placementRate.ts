import { RecentEvents } from './recentEvents.js'

/** Window for counting placements and arrivals: tens of them on a busy shard, and short enough to show a burst. */
const WINDOW_MS = 2000
/** Minimum number of placements for a rate, unless requests waited during the whole window. */
const MIN_SAMPLES = 3

/** The last rate of a queue is reused for the next queue within this time: bursts are some seconds apart. */
const LAST_RATE_TTL_MS = 10_000
/** Standard error of a reused rate or one from few placements. */
const MAX_ERROR = 0.5

/** Rates at which slots become free while requests wait, and at which new requests arrive. */
export class PlacementRate {
  readonly #placed = new RecentEvents(WINDOW_MS)
  readonly #arrived = new RecentEvents(WINDOW_MS)
  #idleUntilMs = 0
  #lastKnown?: { msPerPlace: number, atMs: number }

  recordPlacement (nowMs: number): void {
    this.#placed.record(nowMs)
  }

  /** Records a first attempt; retries are not counted. */
  recordArrival (nowMs: number): void {
    this.#arrived.record(nowMs)
  }

  /** Records that the queue is empty: placements are then limited by arrivals, not by the engines. */
  recordIdle (nowMs: number): void {
    this.#idleUntilMs = nowMs
  }

  /**
   * Mean time between free slots. 0 if nothing is known yet, as at the start of a first queue.
   *
   * @param heldSlots slots in use now
   */
  msPerPlace (nowMs: number, heldSlots: number): number {
    const sinceMs = this.#waitingSinceMs(nowMs)
    const waitedMs = nowMs - sinceMs
    const count = this.#placed.countSince(sinceMs, nowMs)
    if (count < MIN_SAMPLES && waitedMs < WINDOW_MS) return this.#assumedMsPerPlace(waitedMs, count, { nowMs, heldSlots })
    const msPerPlace = waitedMs / Math.max(1, count)
    this.#lastKnown = { msPerPlace, atMs: nowMs }
    return msPerPlace
  }

  /** Mean time between new requests; undefined if unknown. */
  msPerArrival (nowMs: number): number | undefined {
    const count = this.#arrived.countSince(nowMs - WINDOW_MS, nowMs)
    return count < MIN_SAMPLES ? undefined : WINDOW_MS / count
  }

  /** Relative standard error of the time between free slots; it grows as fewer placements were counted. */
  error (nowMs: number): number {
    const count = this.#placed.countSince(this.#waitingSinceMs(nowMs), nowMs)
    return count < MIN_SAMPLES ? MAX_ERROR : Math.min(MAX_ERROR, 1 / Math.sqrt(count))
  }

  /** The rate of the last queue, unless slots already take longer to become free in this one. In a first queue, all that are in use may become free together. */
  #assumedMsPerPlace (waitedMs: number, count: number, { nowMs, heldSlots }: { nowMs: number, heldSlots: number }): number {
    const known = this.#lastKnown && nowMs - this.#lastKnown.atMs <= LAST_RATE_TTL_MS ? this.#lastKnown.msPerPlace : undefined
    return known === undefined ? waitedMs / (count + Math.max(1, heldSlots)) : Math.max(known, waitedMs / (count + 1))
  }

  #waitingSinceMs (nowMs: number): number {
    return Math.max(this.#idleUntilMs, nowMs - WINDOW_MS)
  }
}
