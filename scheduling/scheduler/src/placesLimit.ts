/**
 * A request whose median time between tokens comes this near to the target is a
 * sign of too many beside it. The 95th percentile is not used: stalls that have
 * nothing to do with the batch would drive the limit down to nothing.
 */
const NEAR_TARGET = 0.95
const STEP_DOWN = 0.2
const STEP_UP = 0.02
const LEAST_PLACES = 4

/** Places of a decode engine that keep the time between tokens within its target, as measured: fast down, slowly up. */
export class PlacesLimit {
  readonly #declared: number
  #limit: number

  constructor (declaredPlaces: number) {
    this.#declared = declaredPlaces
    this.#limit = declaredPlaces
  }

  get places (): number {
    return Math.floor(this.#limit)
  }

  learn (tbtP50Ms: number, targetMs: number): void {
    const moved = this.#limit + (tbtP50Ms > NEAR_TARGET * targetMs ? -STEP_DOWN : STEP_UP)
    this.#limit = Math.min(this.#declared, Math.max(Math.min(LEAST_PLACES, this.#declared), moved))
  }
}
