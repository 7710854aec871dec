import { type Clock, type PauseDetector } from '@reelspan/core.env'

export interface OrderLeaseOptions {
  clock: Clock
  /** How long the lease is valid after the last contact. */
  durationMs: number
  /** When this box last had contact with the platform or with most of the boxes, by its own clock. */
  lastContactMs: () => number
  /** Detects pauses of this process. */
  pauses: PauseDetector
}

/** Shortest pause that matters, as a share of the lease duration: a paused box is suspected, and its shards are reassigned, after a second; a lease lasts three. */
const MIN_PAUSE_SHARE = 0.3

/**
 * The lease under which this box gives orders in a shard, for engines that do not
 * check fencing tokens. It expires by the box's own clock unless contact renews it.
 * A new holder first waits until the lease of the previous holder must have expired.
 * So does a box whose process was paused, or whose lease has expired: another box may
 * hold the lease by now, and the first messages that a paused box reads are from before
 * the pause.
 *
 * The lease does not cover a pause between the check and the send. The order is then
 * sent late, by at most the length of the pause. The engine's next report shows its
 * effect, which is then corrected.
 */
export class OrderLease {
  readonly #opts: OrderLeaseOptions
  #acquiredAtMs?: number
  /** When the lease was last found to have expired. */
  #expiredAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: OrderLeaseOptions) {
    this.#opts = opts
  }

  /** Whether this box is the shard's scheduler, by its own view. */
  get isAcquired (): boolean {
    return this.#acquiredAtMs !== undefined
  }

  /** Called when this box becomes the shard's scheduler. */
  acquire (): void {
    this.#acquiredAtMs ??= this.#opts.clock.nowMs()
  }

  /** Called when this box is no longer the shard's scheduler. */
  release (): void {
    this.#acquiredAtMs = undefined
  }

  /** Whether an order may be sent now. Must be called more often than the lease lasts, so that no time without contact is missed. */
  isValid (): boolean {
    const { clock, durationMs, lastContactMs, pauses } = this.#opts
    const nowMs = clock.nowMs()
    if (nowMs - lastContactMs() >= durationMs) this.#expiredAtMs = nowMs
    if (this.#acquiredAtMs === undefined) return false
    const heldFromMs = Math.max(this.#acquiredAtMs, this.#expiredAtMs, pauses.resumedAtMs(MIN_PAUSE_SHARE * durationMs))
    return nowMs - heldFromMs >= 2 * durationMs
  }
}
