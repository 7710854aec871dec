/**
 * A request whose median time between tokens exceeds this share of the target indicates
 * too large a batch. The 95th percentile is not used: stalls unrelated to the batch
 * would push the limit down to its minimum.
 */
const NEAR_TARGET_SHARE = 0.95
const STEP_DOWN = 0.2
const STEP_UP = 0.02
const MIN_SLOTS = 4

/** Adapts the number of usable slots per decode engine to the time between tokens: decreases fast, increases slowly. */
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
