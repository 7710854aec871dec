import { type Member, MemberHealth } from '@reelspan/core.messages'

/** Addresses at which boxes are expected. */
export interface BoxList {
  addresses: readonly string[]
  /** Whether this is the platform's list of all boxes, or only some seed addresses. */
  isComplete: boolean
}

export interface ExpectedBoxesOptions {
  startedAtMs: number
  selfAddress: string
  /** Returns the same addresses until the list changes. */
  list: () => BoxList
  /** All known members, with those that are gone. Returns the same array until a member changes. */
  members: () => readonly Member[]
  /** A listed box that is not known this long after the start does not run. As long as for members that do not answer. */
  silentGoneMs: number
}

interface Counts {
  addresses: readonly string[]
  members: readonly Member[]
  countsUnseen: boolean
  alive: number
  /** Members that are not gone. */
  present: number
  /** Listed addresses, without those that refuse connections. */
  listed: number
  /** Of these, those at which no member was seen. */
  unseen: number
}

/** Share of the expected boxes that have to be known. The others may be starting or down. */
const SETTLED_SHARE = 0.9
/** Boxes that start together and have seed addresses only know all others after 0.3 to 2 s, with less than this time between two new ones. */
const QUIET_MS = 500
/** Minimum time after the start before the absence of new members means that all are known. */
const MIN_DISCOVERY_MS = 1000
/** The same for a box that has reached no other one: the boxes that it contacts may be slow to start. */
const MIN_ALONE_MS = 5000
/** Connections are refused by boxes that are about to start, within this time of this box's start. */
const START_GRACE_MS = 5000

/** Compares the members that this box knows with the boxes that are listed, to tell a box that has just started from a small fleet. */
export class ExpectedBoxes {
  readonly #opts: ExpectedBoxesOptions
  /** Listed addresses at which no process listens. */
  readonly #unused = new Set<string>()
  /** Counts for the arrays that they were made from, since each decision on a limit needs them. */
  #counts = NO_COUNTS
  #newMemberAtMs: number
  #memberCount = 1
  #hasSettled = false

  constructor (opts: ExpectedBoxesOptions) {
    this.#opts = opts
    this.#newMemberAtMs = opts.startedAtMs
  }

  /** Called when a member has changed. */
  observeMembers (nowMs: number): void {
    const { length } = this.#opts.members()
    if (length > this.#memberCount) this.#newMemberAtMs = nowMs
    this.#memberCount = length
  }

  /** Records that a connection to a listed address was refused, so that no box runs there. */
  recordRefused (address: string, nowMs: number): void {
    if (nowMs - this.#opts.startedAtMs < START_GRACE_MS) return
    this.#unused.add(address)
    this.#counts = NO_COUNTS
  }

  /**
   * Share of the limits for the boxes that this box reaches. Boxes that start beyond a network partition are not members,
   * but listed. Seed addresses are only some of them, so each side has the share of the seeds that it has seen.
   */
  reachableShare (nowMs: number): number {
    const { alive, listed, unseen } = this.#currentCounts(nowMs)
    const share = alive / this.#expected(nowMs)
    return unseen === 0 || this.#opts.list().isComplete ? share : Math.min(share, (listed - unseen) / listed)
  }

  /** Share of the limits for this box alone. */
  ownShare (nowMs: number): number {
    return this.reachableShare(nowMs) / this.#currentCounts(nowMs).alive
  }

  /** Whether this box knows the members well enough to agree with the others on the coordinators. Once true, it remains true. */
  isSettled (nowMs: number): boolean {
    this.#hasSettled ||= this.#isComplete(nowMs) || this.#isQuiet(nowMs)
    return this.#hasSettled
  }

  #isComplete (nowMs: number): boolean {
    const { list, selfAddress } = this.#opts
    const { addresses, isComplete } = list()
    if (!isComplete && addresses.some((address) => address !== selfAddress)) return false
    return this.#currentCounts(nowMs).alive >= SETTLED_SHARE * this.#expected(nowMs)
  }

  #isQuiet (nowMs: number): boolean {
    const minMs = this.#opts.members().length > 1 ? MIN_DISCOVERY_MS : MIN_ALONE_MS
    return nowMs - this.#opts.startedAtMs >= minMs && nowMs - this.#newMemberAtMs >= QUIET_MS
  }

  #expected (nowMs: number): number {
    const { present, unseen } = this.#currentCounts(nowMs)
    return present + unseen
  }

  #currentCounts (nowMs: number): Counts {
    const { list, members: membersOf, startedAtMs, silentGoneMs } = this.#opts
    const { addresses } = list()
    const members = membersOf()
    const countsUnseen = nowMs - startedAtMs <= silentGoneMs
    if (addresses === this.#counts.addresses && members === this.#counts.members && countsUnseen === this.#counts.countsUnseen) return this.#counts
    const seen = new Set(members.map(({ peerAddress }) => peerAddress))
    const used = addresses.filter((address) => !this.#unused.has(address))
    this.#counts = {
      addresses,
      members,
      countsUnseen,
      alive: members.filter(({ health }) => health === MemberHealth.Alive).length,
      present: members.filter(({ health }) => health !== MemberHealth.Gone).length,
      listed: used.length,
      unseen: countsUnseen ? used.filter((address) => !seen.has(address)).length : 0,
    }
    return this.#counts
  }
}

const NO_COUNTS: Counts = { addresses: [], members: [], countsUnseen: true, alive: 0, present: 0, listed: 0, unseen: 0 }
