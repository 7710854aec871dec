/** Weight of one call: some ten are remembered, which a box makes at an upstream in a few seconds. */
const EWMA_WEIGHT = 0.1
/** What was seen of an upstream is forgotten in about this time: a busy one empties within a second or two. */
const DECAY_MS = 2000
/** Before any call has ended. The same for all, so its size does not matter. */
const INITIAL_MEAN_MS = 100

interface LatencyEstimate {
  meanMs: number
  updatedAtMs: number
  calls: number
}

/** How long calls to each of some upstreams took of late. What is not renewed comes back to the mean of all. */
export class CallLatencies {
  readonly #estimates = new Map<string, LatencyEstimate>()
  #meanMs = INITIAL_MEAN_MS
  #calls = 0

  record (upstream: string, durationMs: number, nowMs: number): void {
    this.#calls++
    this.#meanMs = updatedMean(this.#meanMs, durationMs, this.#calls)
    const calls = (this.#estimates.get(upstream)?.calls ?? 0) + 1
    this.#estimates.set(upstream, { meanMs: updatedMean(this.expectedMs(upstream, nowMs), durationMs, calls), updatedAtMs: nowMs, calls })
  }

  expectedMs (upstream: string, nowMs: number): number {
    const estimate = this.#estimates.get(upstream)
    if (!estimate) return this.#meanMs
    return this.#meanMs + (estimate.meanMs - this.#meanMs) * Math.exp(-(nowMs - estimate.updatedAtMs) / DECAY_MS)
  }

  /** Forgets upstreams that are gone. */
  retain (names: ReadonlySet<string>): void {
    [...this.#estimates.keys()].filter((name) => !names.has(name)).forEach((name) => this.#estimates.delete(name))
  }
}

function updatedMean (meanMs: number, sampleMs: number, calls: number): number {
  return meanMs + Math.max(EWMA_WEIGHT, 1 / calls) * (sampleMs - meanMs)
}
