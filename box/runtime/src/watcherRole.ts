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
  /** When most of the watched members last answered, on this box's clock. */
  lastMajorityContactMs: () => number
}

/** This many probe periods without an answer from most watched members, and a box is on its own. */
const ALONE_AFTER_PERIODS = 2

/** A few boxes of each availability zone watch the platform for the rest, and those that have lost sight of the others. */
export class WatcherRole {
  readonly #opts: WatcherRoleOptions
  /** Members that the zone's boxes were last ranked among, and what came of it. Asked far more often than they change. */
  #rankedAmong?: readonly Member[]
  #role = ProofRole.Other

  constructor (opts: WatcherRoleOptions) {
    this.#opts = opts
  }

  /** Whether this box watches the platform now. */
  holds (): boolean {
    const { clock, settings, lastMajorityContactMs } = this.#opts
    if (clock.nowMs() - lastMajorityContactMs() > ALONE_AFTER_PERIODS * settings.membership.probePeriodMs) return true
    return this.proofRole() !== ProofRole.Other
  }

  /** How near this box stands to the platform, by its rank in its zone. */
  proofRole (): ProofRole {
    const members = this.#opts.view.takingWork()
    if (members !== this.#rankedAmong) this.#role = this.#rank(members)
    this.#rankedAmong = members
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
