import { RecentEvents } from './recentEvents.js'

/** Placements and arrivals are counted over this time: some tens of them on a busy shard, and a burst shows within it. */
const WINDOW_MS = 2000
/** Fewer placements than this say little, unless requests waited for the whole window. */
const MIN_SAMPLES = 3

/** A rate that was known when a queue emptied says something of the next queue for this long: bursts come some seconds apart. */
const LAST_RATE_LIFE_MS = 10_000
/** Standard error of what is remembered or nearly uncounted. */
const MAX_ERROR = 0.5

/** How fast places become free while requests wait for them, and how fast new requests come. */
export class PlacementRate {
  readonly #placed = new RecentEvents(WINDOW_MS)
  readonly #arrived = new RecentEvents(WINDOW_MS)
  #idleUntilMs = 0
  #lastKnown?: { msPerPlace: number, atMs: number }

  /** A request was placed. */
  recordPlacement (nowMs: number): void {
    this.#placed.record(nowMs)
  }

  /** A request came for the first time. */
  recordArrival (nowMs: number): void {
    this.#arrived.record(nowMs)
  }

  /** Nothing waits: placements are as fast as requests come and say nothing of the engines. */
  recordIdle (nowMs: number): void {
    this.#idleUntilMs = nowMs
  }

  /** Time from one free place to the next. At the start of a first queue nothing is known, and it is 0. */
  msPerPlace (nowMs: number): number {
    const sinceMs = this.#waitingSinceMs(nowMs)
    const waitedMs = nowMs - sinceMs
    const count = this.#placed.countSince(sinceMs, nowMs)
    if (count < MIN_SAMPLES && waitedMs < WINDOW_MS) return this.#lastKnownMsPerPlace(waitedMs / (count + 1), nowMs)
    const msPerPlace = waitedMs / Math.max(1, count)
    this.#lastKnown = { msPerPlace, atMs: nowMs }
    return msPerPlace
  }

  /** Time from one new request to the next, or nothing when it is not known. */
  msPerArrival (nowMs: number): number | undefined {
    const count = this.#arrived.countSince(nowMs - WINDOW_MS, nowMs)
    return count < MIN_SAMPLES ? undefined : WINDOW_MS / count
  }

  /** Standard error of the time per place, as a part of it: the fewer were counted, the larger. */
  error (nowMs: number): number {
    const count = this.#placed.countSince(this.#waitingSinceMs(nowMs), nowMs)
    return count < MIN_SAMPLES ? MAX_ERROR : Math.min(MAX_ERROR, 1 / Math.sqrt(count))
  }

  /** What was known of the last queue, unless places come more slowly than that already. */
  #lastKnownMsPerPlace (minMs: number, nowMs: number): number {
    const known = this.#lastKnown && nowMs - this.#lastKnown.atMs <= LAST_RATE_LIFE_MS ? this.#lastKnown.msPerPlace : 0
    return Math.max(known, minMs)
  }

  #waitingSinceMs (nowMs: number): number {
    return Math.max(this.#idleUntilMs, nowMs - WINDOW_MS)
  }
}
