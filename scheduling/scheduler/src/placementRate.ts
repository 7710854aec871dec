/** Placements are counted over this time. */
const WINDOW_MS = 2000
/** Fewer placements than this in the window say nothing. */
const FEWEST = 3

/** How fast places become free: the rate of late placements, as long as requests wait for them. */
export class PlacementRate {
  #placedAtMs: number[] = []
  #idleUntilMs = 0

  /** A request was placed. */
  note (nowMs: number): void {
    this.#placedAtMs.push(nowMs)
    this.#forget(nowMs)
  }

  /** Nothing waits: placements are as fast as requests come and say nothing of the engines. */
  noteIdle (nowMs: number): void {
    this.#idleUntilMs = nowMs
  }

  /** Time from one free place to the next, or nothing when it is not known. */
  msPerPlace (nowMs: number): number | undefined {
    this.#forget(nowMs)
    const sinceMs = Math.max(this.#idleUntilMs, nowMs - WINDOW_MS)
    const count = this.#placedAtMs.filter((atMs) => atMs > sinceMs).length
    return count < FEWEST ? undefined : (nowMs - sinceMs) / count
  }

  #forget (nowMs: number): void {
    this.#placedAtMs = this.#placedAtMs.filter((atMs) => atMs > nowMs - WINDOW_MS)
  }
}
