import { type Clock } from '@reelspan/core.env'

export interface OrderRightOptions {
  clock: Clock
  /** How long the right lasts after the last contact. */
  lifeMs: number
  /** When this box last heard from the platform or from most of the peers it watches, on its own clock. */
  lastContactMs: () => number
}

/**
 * The right of this box to give orders in a shard, for engines that do not
 * check fencing numbers. It lapses on the box's own clock unless contact renews
 * it, and a new holder first waits until the one before must have lost it.
 *
 * What it cannot prevent: a process that is paused between the check and the
 * send. The order then leaves at most as late as the pause is long, and the
 * engine's next report shows what it did, so that it is mended.
 */
export class OrderRight {
  readonly #opts: OrderRightOptions
  #heldFromMs?: number

  constructor (opts: OrderRightOptions) {
    this.#opts = opts
  }

  /** Whether this box is the shard's scheduler, by its own view. */
  get taken (): boolean {
    return this.#heldFromMs !== undefined
  }

  /** This box became the shard's scheduler. */
  take (): void {
    this.#heldFromMs ??= this.#opts.clock.nowMs()
  }

  /** This box is no longer the shard's scheduler. */
  giveUp (): void {
    this.#heldFromMs = undefined
  }

  /** Whether an order may be sent at this very moment. */
  holds (): boolean {
    const { clock, lifeMs, lastContactMs } = this.#opts
    const nowMs = clock.nowMs()
    if (this.#heldFromMs === undefined) return false
    const predecessorIsDone = nowMs - this.#heldFromMs >= 2 * lifeMs
    return predecessorIsDone && nowMs - lastContactMs() < lifeMs
  }
}
