import { type Clock, type PauseWatch } from '@reelspan/core.env'

export interface OrderRightOptions {
  clock: Clock
  /** How long the right lasts after the last contact. */
  lifeMs: number
  /** When this box last heard from the platform or from most of the peers it watches, on its own clock. */
  lastContactMs: () => number
  /** When this process stood still. */
  pauses: PauseWatch
}

/** Boxes are suspected, and their shards given to others, after a second; a right lasts for three. */
const PAUSE_SHARE = 0.3

/**
 * The right of this box to give orders in a shard, for engines that do not
 * check fencing numbers. It lapses on the box's own clock unless contact renews
 * it, and a new holder first waits until the one before must have lost it. So does
 * a box that stood still: another one may have it by now, and what it reads first
 * is from before.
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
    const { clock, lifeMs, lastContactMs, pauses } = this.#opts
    const nowMs = clock.nowMs()
    if (this.#heldFromMs === undefined) return false
    const fromMs = Math.max(this.#heldFromMs, pauses.wokeAtMs(PAUSE_SHARE * lifeMs))
    const othersAreDone = nowMs - fromMs >= 2 * lifeMs
    return othersAreDone && nowMs - lastContactMs() < lifeMs
  }
}
