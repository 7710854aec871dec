/** EWMA weight of one call: averages over some ten calls, which a box makes to an upstream in a few seconds. */
const EWMA_WEIGHT = 0.1
/** Time constant with which an estimate decays to the mean: a busy upstream empties its queue within a second or two. */
const DECAY_MS = 2000
/** Expected latency before any call has ended. It is the same for all upstreams, so its value has no effect. */
const INITIAL_MEAN_MS = 100

interface LatencyEstimate {
  meanMs: number
  updatedAtMs: number
  calls: number
}

/** Exponentially weighted mean latency of recent calls by upstream. Estimates without new samples decay to the mean of all upstreams. */
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

  /** Drops the estimates of all other upstreams. */
  retain (names: ReadonlySet<string>): void {
    [...this.#estimates.keys()].filter((name) => !names.has(name)).forEach((name) => this.#estimates.delete(name))
  }
}

function updatedMean (meanMs: number, sampleMs: number, calls: number): number {
  return meanMs + Math.max(EWMA_WEIGHT, 1 / calls) * (sampleMs - meanMs)
}
