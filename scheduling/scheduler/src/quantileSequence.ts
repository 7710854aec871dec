/** Fractional part of the golden ratio: its multiples modulo 1 are evenly spread, however many are taken. */
const GOLDEN_STEP = 0.6180339887498949

/**
 * Assigns each object a quantile that it keeps. The quantiles of any objects that follow each other are evenly spread,
 * so that ends at these quantiles of a distribution come at the rate that the distribution implies.
 */
export class QuantileSequence {
  readonly #assigned = new WeakMap<object, number>()
  #next = GOLDEN_STEP

  quantileOf (one: object): number {
    const known = this.#assigned.get(one)
    if (known !== undefined) return known
    const quantile = this.#next
    this.#next = (this.#next + GOLDEN_STEP) % 1
    this.#assigned.set(one, quantile)
    return quantile
  }
}
