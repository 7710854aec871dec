import { type Member, MemberHealth } from '@reelspan/core.messages'

/** Addresses at which boxes are expected. */
export interface BoxList {
  addresses: readonly string[]
  /** Whether this is the platform's list of all boxes, or only some seed addresses. */
  isComplete: boolean
}

export interface ExpectedBoxesOptions {
  startedAtMs: number
  list: () => BoxList
  /** All known members, with those that are gone. Returns the same array until a member changes. */
  members: () => readonly Member[]
  /** A listed box that is not known this long after the start does not run. As long as for members that do not answer. */
  silentGoneMs: number
}

/** Share of the expected boxes that have to be known. The others may be starting or down. */
const SETTLED_SHARE = 0.9
/** Boxes that start together and have seed addresses only know all others after 0.3 to 2 s, with less than this time between two new ones. */
const QUIET_MS = 500
/** Minimum time after the start before the absence of new members means that all are known. */
const MIN_DISCOVERY_MS = 1000
/** Connections are refused by boxes that are about to start, within this time of this box's start. */
const START_GRACE_MS = 5000

/** Compares the members that this box knows with the boxes that are listed, to tell a box that has just started from a small fleet. */
export class ExpectedBoxes {
  readonly #opts: ExpectedBoxesOptions
  /** Listed addresses at which no process listens. */
  readonly #unused = new Set<string>()
  #unseen: { addresses: readonly string[], members: readonly Member[], count: number } = { addresses: [], members: [], count: 0 }
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
    this.#unseen = { addresses: [], members: [], count: 0 }
  }

  /** Members that are not gone, and listed boxes that may run unseen, for example beyond a network partition. */
  count (nowMs: number): number {
    const members = this.#opts.members().filter(({ health }) => health !== MemberHealth.Gone)
    return members.length + this.#unseenCount(nowMs)
  }

  /** Whether this box knows the members well enough to agree with the others on the coordinators. Once true, it remains true. */
  isSettled (nowMs: number): boolean {
    this.#hasSettled ||= this.#isComplete(nowMs) || this.#isQuiet(nowMs)
    return this.#hasSettled
  }

  #isComplete (nowMs: number): boolean {
    const { list, members } = this.#opts
    const { addresses, isComplete } = list()
    if (!isComplete && addresses.length > 0) return false
    return members().filter(({ health }) => health === MemberHealth.Alive).length >= SETTLED_SHARE * this.count(nowMs)
  }

  #isQuiet (nowMs: number): boolean {
    return nowMs - this.#opts.startedAtMs >= MIN_DISCOVERY_MS && nowMs - this.#newMemberAtMs >= QUIET_MS
  }

  #unseenCount (nowMs: number): number {
    const { list, members: membersOf, silentGoneMs, startedAtMs } = this.#opts
    if (nowMs - startedAtMs > silentGoneMs) return 0
    const { addresses } = list()
    const members = membersOf()
    // Seed addresses are a new array in each call, but only a few.
    if (addresses !== this.#unseen.addresses || members !== this.#unseen.members) {
      const seen = new Set(members.map(({ peerAddress }) => peerAddress))
      this.#unseen = { addresses, members, count: addresses.filter((address) => !seen.has(address) && !this.#unused.has(address)).length }
    }
    return this.#unseen.count
  }
}
