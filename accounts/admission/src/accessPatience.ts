import { Access, type AccessDecision } from '@reelspan/accounts.keys'
import { type Clock } from '@reelspan/core.env'

export interface AccessPatienceOptions {
  clock: Clock
  /** Resolves once a newer configuration than the one in force is in force, or the signal is aborted. */
  changed: (signal: AbortSignal) => Promise<void>
}

/** News of a change is at all boxes within this time (0.34 s at 300 boxes, 0.11 s at 30, as played). */
const NEWS_MS = 500
/** More requests than this do not wait: made-up keys cost nothing but places in this small queue. */
const MAX_WAITING = 32

/** Keeps a request whose key is not known here until news of it could have come, so that a key works everywhere as soon as it is declared. */
export class AccessPatience {
  readonly #opts: AccessPatienceOptions
  #waiting = 0

  constructor (opts: AccessPatienceOptions) {
    this.#opts = opts
  }

  /** Decides again with each newer configuration, until the key is known or the time is over. Asks nobody. */
  async untilDecided (decide: () => AccessDecision, first: AccessDecision): Promise<AccessDecision> {
    if (this.#waiting >= MAX_WAITING) return first
    const { clock, changed } = this.#opts
    const over = new AbortController()
    this.#waiting++
    try {
      const time = { isOver: false }
      // A timer may end a moment before its time by the clock, which is not asked for that reason.
      const end = clock.sleep(NEWS_MS, { signal: over.signal }).then(() => { time.isOver = true })
      let decision = first
      while (!time.isOver && decision.access === Access.KeyUnknown) {
        await Promise.race([end, changed(over.signal)])
        decision = decide()
      }
      return decision
    } finally {
      this.#waiting--
      over.abort()
    }
  }
}
