/** Recent prefills that count. */
const SAMPLES = 15

/** Predicts how early a request can arrive at its decode engine, from how much sooner than expected recent prefills ended. */
export class ArrivalPredictor {
  /** Shares of the expected time by which prefills ended sooner. */
  #earlyShares: number[] = []

  /** Called when the prefill of a request has ended. */
  observe ({ placedAtMs, endMs }: { placedAtMs: number, endMs: number }, endedAtMs: number): void {
    const expectedMs = endMs - placedAtMs
    if (expectedMs > 0) this.#earlyShares = [...this.#earlyShares, Math.max(0, (endMs - endedAtMs) / expectedMs)].slice(-SAMPLES)
  }

  /** @param endMs when the prefill is expected to end */
  earliestMs (endMs: number, nowMs: number): number {
    return endMs - (endMs - nowMs) * Math.max(0, ...this.#earlyShares)
  }
}
