import { ProofRole } from '@reelspan/accounts.proof'
import { type Settings } from '@reelspan/config.settings'
import { type Clock } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type Member } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'

export interface WatcherRoleOptions {
  clock: Clock
  settings: Settings
  view: MembershipView
  /** When a majority of the watched members last answered, on this box's clock. */
  lastMajorityContactMs: () => number
}

/** A box without an answer from a majority of its watched members for this many probe periods is isolated. */
const ISOLATED_AFTER_PERIODS = 2

/** Decides whether this box watches the platform. A few boxes of each availability zone do so for the others; an isolated box always does. */
export class WatcherRole {
  readonly #opts: WatcherRoleOptions
  /** Members of the last ranking. The role is cached, since it is read far more often than the members change. */
  #rankedMembers?: readonly Member[]
  #role = ProofRole.Other

  constructor (opts: WatcherRoleOptions) {
    this.#opts = opts
  }

  /** Whether this box currently watches the platform. */
  isWatcher (): boolean {
    const { clock, settings, lastMajorityContactMs } = this.#opts
    if (clock.nowMs() - lastMajorityContactMs() > ISOLATED_AFTER_PERIODS * settings.membership.probePeriodMs) return true
    return this.proofRole() !== ProofRole.Other
  }

  /** Role of this box in the renewal of freshness proofs, by its rank in its zone. */
  proofRole (): ProofRole {
    const members = this.#opts.view.takingWork()
    if (members !== this.#rankedMembers) this.#role = this.#rank(members)
    this.#rankedMembers = members
    return this.#role
  }

  #rank (members: readonly Member[]): ProofRole {
    const { settings, view } = this.#opts
    const { availabilityZone, incarnation } = view.self
    const ofZone = members.filter((member) => member.availabilityZone === availabilityZone)
    const rank = rankByRendezvous(`watch|${availabilityZone}`, ofZone, (member) => member.incarnation)
      .slice(0, settings.platform.watchersPerAvailabilityZone)
      .findIndex((member) => member.incarnation === incarnation)
    if (rank < 0) return ProofRole.Other
    return rank === 0 ? ProofRole.First : ProofRole.Watcher
  }
}
