/** Weight of one call: some ten are remembered, which a box makes at an upstream in a few seconds. */
const SMOOTHING = 0.1
/** What was seen of an upstream is forgotten in about this time: a busy one empties within a second or two. */
const MEMORY_MS = 2000
/** Before any call has ended. The same for all, so its size does not matter. */
const UNKNOWN_MS = 100

interface SeenTime {
  meanMs: number
  atMs: number
  calls: number
}

/** How long calls to each of some upstreams took of late. What is not renewed comes back to the mean of all. */
export class CallTimes {
  readonly #seen = new Map<string, SeenTime>()
  #meanMs = UNKNOWN_MS
  #calls = 0

  note (upstream: string, durationMs: number, nowMs: number): void {
    this.#calls++
    this.#meanMs = moved(this.#meanMs, durationMs, this.#calls)
    const calls = (this.#seen.get(upstream)?.calls ?? 0) + 1
    this.#seen.set(upstream, { meanMs: moved(this.expectedMs(upstream, nowMs), durationMs, calls), atMs: nowMs, calls })
  }

  expectedMs (upstream: string, nowMs: number): number {
    const seen = this.#seen.get(upstream)
    if (!seen) return this.#meanMs
    return this.#meanMs + (seen.meanMs - this.#meanMs) * Math.exp(-(nowMs - seen.atMs) / MEMORY_MS)
  }

  /** Forgets upstreams that are gone. */
  retain (names: ReadonlySet<string>): void {
    [...this.#seen.keys()].filter((name) => !names.has(name)).forEach((name) => this.#seen.delete(name))
  }
}

function moved (meanMs: number, sampleMs: number, calls: number): number {
  return meanMs + Math.max(SMOOTHING, 1 / calls) * (sampleMs - meanMs)
}
