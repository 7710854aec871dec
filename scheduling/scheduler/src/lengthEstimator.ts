const SMOOTHING = 0.05
const FIRST_GUESS = 0.6

/** Learns which part of their allowed tokens requests use, by client, and over all. */
export class LengthEstimator {
  readonly #ratios = new Map<string, number>()
  #overall = FIRST_GUESS

  /** Expected tokens of a request that may generate `maxTokens`. */
  expect (client: string, maxTokens: number): number {
    return Math.max(1, maxTokens * (this.#ratios.get(client) ?? this.#overall))
  }

  learn (client: string, maxTokens: number, tokens: number): void {
    const ratio = Math.min(1, tokens / maxTokens)
    const known = this.#ratios.get(client) ?? this.#overall
    this.#ratios.set(client, known + SMOOTHING * (ratio - known))
    this.#overall += SMOOTHING * (ratio - this.#overall)
  }
}
