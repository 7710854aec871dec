/**
 * A request whose median time between tokens comes this near to the target is a
 * sign of too many beside it. The 95th percentile is not used: stalls that have
 * nothing to do with the batch would drive the limit down to nothing.
 */
const NEAR_TARGET_SHARE = 0.95
const STEP_DOWN = 0.2
const STEP_UP = 0.02
const MIN_SLOTS = 4

/** Places of a decode engine that keep the time between tokens within its target, as measured: fast down, slowly up. */
export class SlotLimit {
  readonly #declared: number
  #limit: number

  constructor (declaredSlots: number) {
    this.#declared = declaredSlots
    this.#limit = declaredSlots
  }

  get slots (): number {
    return Math.floor(this.#limit)
  }

  observe (tbtP50Ms: number, targetMs: number): void {
    const adjusted = this.#limit + (tbtP50Ms > NEAR_TARGET_SHARE * targetMs ? -STEP_DOWN : STEP_UP)
    this.#limit = Math.min(this.#declared, Math.max(Math.min(MIN_SLOTS, this.#declared), adjusted))
  }
}
