/** Weight of one request: the mean covers about 20 requests, which wait within one or two seconds of a queue. */
const EWMA_WEIGHT = 0.05
/** Waits below this say little about the forecast: the dispatch of a prefill alone varies by as much. */
const MIN_FORECAST_MS = 50
/** Bounds of one sample, so that a stall of an engine is not taken as a lasting error. */
const MIN_RATIO = 0.5
const MAX_RATIO = 2

/** Learns by how much requests wait longer than the forecast at their arrival said. */
export class ForecastCorrection {
  #ratio = 1

  /** Relative correction of the rate of slots for new requests; not above 0, since requests that were placed early are no reason to keep more. */
  get error (): number {
    return Math.min(0, 1 / this.#ratio - 1)
  }

  observe (forecastMs: number, observedMs: number): void {
    if (forecastMs < MIN_FORECAST_MS) return
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, observedMs / forecastMs))
    this.#ratio += EWMA_WEIGHT * (ratio - this.#ratio)
  }
}
