import { type PauseWatch } from '@reelspan/core.env'

export interface TakeoverGuardOptions {
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
export class TakeoverGuard {
  readonly #opts: TakeoverGuardOptions

  constructor (opts: TakeoverGuardOptions) {
    this.#opts = opts
  }

  /** Whether nobody can have taken over a request that was accepted here at a time. */
  isExclusiveSince (acceptedAtMs: number): boolean {
    const { pauses, lastContactMs, hasPeers } = this.#opts
    const resumedAtMs = pauses.wokeAtMs(PAUSE_MS)
    const inContactSince = lastContactMs() > resumedAtMs || !hasPeers()
    return acceptedAtMs > resumedAtMs && inContactSince
  }
}
