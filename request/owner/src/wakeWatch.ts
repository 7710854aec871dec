import { type Clock, type TaskGroup } from '@reelspan/core.env'

export interface WakeWatchOptions {
  clock: Clock
  /** When most watched peers last answered; a box without peers needs none. */
  lastContactMs: () => number
  hasPeers: () => boolean
}

const TICK_MS = 100
/** A longer gap between two ticks is a pause of the process. Shorter than anyone needs to take over its requests. */
const PAUSE_MS = 300

/**
 * Notices that the process was paused. While it slept it may have been declared
 * gone, and what may be repeated may have been run elsewhere: it can no longer
 * say of such a request that it did not run.
 */
export class WakeWatch {
  readonly #opts: WakeWatchOptions
  #lastTickMs: number
  #wokeAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: WakeWatchOptions) {
    this.#opts = opts
    this.#lastTickMs = opts.clock.nowMs()
  }

  start (tasks: TaskGroup): void {
    tasks.repeat(async () => this.#look(), { periodMs: TICK_MS })
  }

  /** Whether nobody can have taken over a request that was accepted here at a time. */
  isSureSince (acceptedAtMs: number): boolean {
    this.#look()
    const { lastContactMs, hasPeers } = this.#opts
    const heardSince = lastContactMs() > this.#wokeAtMs || !hasPeers()
    return acceptedAtMs > this.#wokeAtMs && heardSince
  }

  #look (): void {
    const nowMs = this.#opts.clock.nowMs()
    if (nowMs - this.#lastTickMs > PAUSE_MS) this.#wokeAtMs = nowMs
    this.#lastTickMs = nowMs
  }
}
