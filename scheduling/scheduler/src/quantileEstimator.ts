export interface QuantileEstimatorOptions {
  /** Part of the values that shall be below the estimate. */
  quantile: number
  firstMs: number
  minMs: number
  maxMs: number
}

const STEP_MS = 2

/** Follows a quantile of a stream of durations with one number: up after values above it, down a little after those below. */
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
