import { type PauseDetector } from '@reelspan/core.env'

export interface TakeoverGuardOptions {
  pauses: PauseDetector
  /** When most of the watched peers last answered. Ignored if the box has no peers. */
  lastContactMs: () => number
  hasPeers: () => boolean
}

/** Minimum length of a pause that counts: shorter than any takeover of a paused box's requests. */
const PAUSE_MS = 300

/**
 * Detects whether another box may have taken over requests while this process was paused.
 * During a pause this box may have been declared gone and its repeatable requests run
 * elsewhere, so it can no longer answer that such a request did not run.
 */
export class TakeoverGuard {
  readonly #opts: TakeoverGuardOptions

  constructor (opts: TakeoverGuardOptions) {
    this.#opts = opts
  }

  /** Whether no other box can have taken over a request that was accepted here at `acceptedAtMs`. */
  isExclusiveSince (acceptedAtMs: number): boolean {
    const { pauses, lastContactMs, hasPeers } = this.#opts
    const resumedAtMs = pauses.resumedAtMs(PAUSE_MS)
    const inContactSince = lastContactMs() > resumedAtMs || !hasPeers()
    return acceptedAtMs > resumedAtMs && inContactSince
  }
}
