import { type PauseWatch } from '@reelspan/core.env'

export interface WakeWatchOptions {
  pauses: PauseWatch
  /** When most watched peers last answered; a box without peers needs none. */
  lastContactMs: () => number
  hasPeers: () => boolean
}

/** Shorter than anyone needs to take over a paused process's requests. */
const PAUSE_MS = 300

/**
 * Knows whether the process was paused. While it slept it may have been declared
 * gone, and what may be repeated may have been run elsewhere: it can no longer
 * say of such a request that it did not run.
 */
export class WakeWatch {
  readonly #opts: WakeWatchOptions

  constructor (opts: WakeWatchOptions) {
    this.#opts = opts
  }

  /** Whether nobody can have taken over a request that was accepted here at a time. */
  isSureSince (acceptedAtMs: number): boolean {
    const { pauses, lastContactMs, hasPeers } = this.#opts
    const wokeAtMs = pauses.wokeAtMs(PAUSE_MS)
    const heardSince = lastContactMs() > wokeAtMs || !hasPeers()
    return acceptedAtMs > wokeAtMs && heardSince
  }
}
