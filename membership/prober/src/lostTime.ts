import { type Clock } from '@reelspan/core.env'

/** Messages take some ms, and may be held up by less than this. */
const LOST_MS = 75

/**
 * Finds time that this box's clock left out, as while its machine was suspended: members say how long
 * ago they last heard of this box, by clocks of their own, and between the same two heartbeats as much
 * must have passed here. Times of two machines are not compared, only how long something took.
 */
export class LostTime {
  readonly #clock: Clock
  /** When heartbeats of members last came, by incarnation. */
  readonly #heardAtMs = new Map<string, number>()
  /** When the last heartbeat was sent that a member answered, by incarnation. */
  readonly #sentAtMs = new Map<string, number>()
  #found = { durationMs: 0, atMs: Number.NEGATIVE_INFINITY }

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** A member's heartbeat has come. Answers how long ago the one before came. */
  noteHeard (incarnation: string): number | undefined {
    const nowMs = this.#clock.nowMs()
    const lastMs = this.#heardAtMs.get(incarnation)
    this.#heardAtMs.set(incarnation, nowMs)
    return lastMs === undefined ? undefined : nowMs - lastMs
  }

  /** A heartbeat was answered, with how long before it the one before had come there. */
  noteAnswered (incarnation: string, sentAtMs: number, heardAgoMs?: number): void {
    const lastMs = this.#sentAtMs.get(incarnation)
    this.#sentAtMs.set(incarnation, sentAtMs)
    if (heardAgoMs === undefined || lastMs === undefined) return
    const durationMs = heardAgoMs - (sentAtMs - lastMs)
    if (durationMs > LOST_MS) this.#found = { durationMs, atMs: this.#clock.nowMs() }
  }

  /** Time that was found to be lost since `sinceMs`, on this box's clock. */
  foundSince (sinceMs: number): number {
    return this.#found.atMs >= sinceMs ? this.#found.durationMs : 0
  }

  forget (incarnation: string): void {
    this.#heardAtMs.delete(incarnation)
    this.#sentAtMs.delete(incarnation)
  }
}
