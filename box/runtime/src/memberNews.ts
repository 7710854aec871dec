import { type Member, MemberHealth } from '@reelspan/core.messages'

/** Tells changes of members that matter to a reader from those of their version alone. */
export class MemberNews {
  /** What was last told, by incarnation. */
  readonly #told = new Map<string, string>()

  /** Whether a member's health or leaving is not what was last told; from now on it has been told. */
  take ({ incarnation, health, leaving }: Member): boolean {
    const standing = `${health} ${leaving}`
    if (this.#told.get(incarnation) === standing) return false
    if (health === MemberHealth.Gone) this.#told.delete(incarnation)
    else this.#told.set(incarnation, standing)
    return true
  }
}
