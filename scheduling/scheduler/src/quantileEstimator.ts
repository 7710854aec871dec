export interface QuantileEstimatorOptions {
  /** Share of the samples that should be below the estimate. */
  quantile: number
  firstMs: number
  minMs: number
  maxMs: number
}

const STEP_MS = 2

/** Tracks a quantile of a stream of durations: a step up after each sample above the estimate, a step down after each below, weighted by the quantile. */
export class QuantileEstimator {
  readonly #opts: QuantileEstimatorOptions
  #valueMs: number

  constructor (opts: QuantileEstimatorOptions) {
    this.#opts = opts
    this.#valueMs = opts.firstMs
  }

  get valueMs (): number {
    return this.#valueMs
  }

  observe (sampleMs: number): void {
    const { quantile, minMs, maxMs } = this.#opts
    const adjusted = this.#valueMs + STEP_MS * (sampleMs > this.#valueMs ? quantile : quantile - 1)
    this.#valueMs = Math.min(maxMs, Math.max(minMs, adjusted))
  }
}
