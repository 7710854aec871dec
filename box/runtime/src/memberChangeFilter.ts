import { type Member, MemberHealth } from '@reelspan/core.messages'

/** Selects the member changes worth logging and drops those that only raise the version. */
export class MemberChangeFilter {
  /** Last logged state by incarnation. */
  readonly #lastLogged = new Map<string, string>()

  /** Returns whether a member's health or leaving flag differs from the last logged one, and remembers it as logged. */
  recordIfChanged ({ incarnation, health, leaving }: Member): boolean {
    const state = `${health} ${leaving}`
    if (this.#lastLogged.get(incarnation) === state) return false
    if (health === MemberHealth.Gone) this.#lastLogged.delete(incarnation)
    else this.#lastLogged.set(incarnation, state)
    return true
  }
}
