import { Access, type AccessDecision } from '@reelspan/accounts.keys'
import { type Clock } from '@reelspan/core.env'

export interface UnknownKeyWaiterOptions {
  clock: Clock
  /** Resolves once a newer configuration is in force, or the signal is aborted. */
  changed: (signal: AbortSignal) => Promise<void>
}

/** Time within which a configuration change reaches all boxes (0.34 s at 300 boxes, 0.11 s at 30, in simulation). */
const PROPAGATION_MS = 500
/** Maximum number of waiting requests. Further ones are refused at once, so that invalid keys take up only this small queue. */
const MAX_WAITING = 32

/** Holds a request with an unknown key until an update that declares the key could have arrived, so that a key works at all boxes as soon as it is declared. */
export class UnknownKeyWaiter {
  readonly #opts: UnknownKeyWaiterOptions
  #waiting = 0

  constructor (opts: UnknownKeyWaiterOptions) {
    this.#opts = opts
  }

  /** Decides again with each newer configuration, until the key is known or the timeout has passed. Sends no requests of its own. */
  async waitForDecision (decide: () => AccessDecision, first: AccessDecision): Promise<AccessDecision> {
    if (this.#waiting >= MAX_WAITING) return first
    const { clock, changed } = this.#opts
    const ended = new AbortController()
    this.#waiting++
    try {
      const timer = { hasFired: false }
      // The clock is not read here, since a timer may fire slightly before its time by the clock.
      const timeout = clock.sleep(PROPAGATION_MS, { signal: ended.signal }).then(() => { timer.hasFired = true })
      let decision = first
      while (!timer.hasFired && decision.access === Access.KeyUnknown) {
        await Promise.race([timeout, changed(ended.signal)])
        decision = decide()
      }
      return decision
    } finally {
      this.#waiting--
      ended.abort()
    }
  }
}
