import { type Clock } from '@reelspan/core.env'

/** Longer than the usual transit time and delay of messages. */
const MIN_SUSPENSION_MS = 75

/**
 * Detects time that this box's clock did not count, for example while its machine was suspended. Members
 * report how long ago, by their own clocks, they received this box's previous heartbeat; as much time must have
 * passed here between these two heartbeats. Only durations of different machines are compared, never their clocks.
 */
export class SuspensionDetector {
  readonly #clock: Clock
  /** When the last heartbeat of each member was received, by incarnation. */
  readonly #receivedAtMs = new Map<string, number>()
  /** When the last heartbeat that each member answered was sent, by incarnation. */
  readonly #sentAtMs = new Map<string, number>()
  #latest = { durationMs: 0, atMs: Number.NEGATIVE_INFINITY }

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records a heartbeat of a member. Returns the time since its previous one. */
  recordReceived (incarnation: string): number | undefined {
    const nowMs = this.#clock.nowMs()
    const lastMs = this.#receivedAtMs.get(incarnation)
    this.#receivedAtMs.set(incarnation, nowMs)
    return lastMs === undefined ? undefined : nowMs - lastMs
  }

  /** Records an answered heartbeat. `heardAgoMs` is the time that the member measured since this box's previous heartbeat. */
  recordAnswered (incarnation: string, sentAtMs: number, heardAgoMs?: number): void {
    const lastMs = this.#sentAtMs.get(incarnation)
    this.#sentAtMs.set(incarnation, sentAtMs)
    if (heardAgoMs === undefined || lastMs === undefined) return
    const durationMs = heardAgoMs - (sentAtMs - lastMs)
    if (durationMs > MIN_SUSPENSION_MS) this.#latest = { durationMs, atMs: this.#clock.nowMs() }
  }

  /** Length of the last suspension, if it was detected after `sinceMs` by this box's clock; otherwise 0. */
  suspendedMsSince (sinceMs: number): number {
    return this.#latest.atMs >= sinceMs ? this.#latest.durationMs : 0
  }

  forget (incarnation: string): void {
    this.#receivedAtMs.delete(incarnation)
    this.#sentAtMs.delete(incarnation)
  }
}
