import { hash32 } from '@reelspan/core.hashing'
import { type Member, MemberHealth } from '@reelspan/core.messages'
import { mergeMember } from './mergeMember.js'

export interface MembershipViewOptions {
  self: Member
  /** How long a gone incarnation is remembered. Not shorter than records and request keys live. */
  goneMemoryMs: number
}

/** Parts that a view is compared in. */
const PARTS = 64

interface Entry {
  member: Member
  /** On this box's clock. */
  changedAtMs: number
}

interface Selections {
  all?: readonly Member[]
  live?: readonly Member[]
  suspected?: readonly Member[]
  takingWork?: readonly Member[]
  /** Those that were not seen to go. */
  byAddress?: ReadonlyMap<string, readonly Member[]>
}

/** Told of each member whose entry changed. */
export type MemberListener = (member: Member) => void

/** What one box believes of all box incarnations. Its own entry is changed by itself alone. */
export class MembershipView {
  readonly #goneMemoryMs: number
  readonly #entries = new Map<string, Entry>()
  readonly #listeners = new Set<MemberListener>()
  #self: Member
  readonly #partDigests: number[] = Array.from({ length: PARTS }, () => 0)
  /** Selections of the members, made when they are first asked for after a change: each heartbeat asks for some, over all members. */
  #selections: Selections = {}

  constructor (opts: MembershipViewOptions) {
    this.#goneMemoryMs = opts.goneMemoryMs
    this.#self = opts.self
    this.#put(opts.self, 0)
  }

  get self (): Member {
    return this.#self
  }

  /** Equal at two boxes whose views are the same. */
  get digest (): number {
    return this.#partDigests.reduce((sum, part) => sum ^ part, 0)
  }

  /** Digests of the view's parts, so that two boxes find where their views differ without sending all of them. */
  get partDigests (): readonly number[] {
    return this.#partDigests
  }

  /** Members of the parts whose digests are not the given ones. */
  differingFrom (partDigests: readonly number[]): Member[] {
    return this.all().filter((member) => this.#partDigests[partOf(member)] !== partDigests[partOf(member)])
  }

  /** Registers a listener. Returns the means to end it. */
  onChange (listener: MemberListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  get (incarnation: string): Member | undefined {
    return this.#entries.get(incarnation)?.member
  }

  /** For how long this box has believed what it does of an incarnation. */
  unchangedForMs (incarnation: string, nowMs: number): number {
    const entry = this.#entries.get(incarnation)
    return entry ? nowMs - entry.changedAtMs : 0
  }

  /** All incarnations that are remembered. Like the other selections, the same list until a member changes. */
  all (): readonly Member[] {
    this.#selections.all ??= [...this.#entries.values()].map(({ member }) => member)
    return this.#selections.all
  }

  /** Members that are neither suspected nor gone, this box included. */
  live (): readonly Member[] {
    this.#selections.live ??= this.all().filter(({ health }) => health === MemberHealth.Alive)
    return this.#selections.live
  }

  /** Members that did not answer, and were not seen to go. */
  suspected (): readonly Member[] {
    this.#selections.suspected ??= this.all().filter(({ health }) => health === MemberHealth.Suspect)
    return this.#selections.suspected
  }

  /** Live members that take new work. */
  takingWork (): readonly Member[] {
    this.#selections.takingWork ??= this.live().filter(({ leaving }) => !leaving)
    return this.#selections.takingWork
  }

  /** The incarnation at an address that was not seen to go, if any. */
  atAddress (peerAddress: string): Member | undefined {
    return this.allAtAddress(peerAddress)[0]
  }

  /** All incarnations at an address that were not seen to go, the one heard of first at the beginning. */
  allAtAddress (peerAddress: string): readonly Member[] {
    this.#selections.byAddress ??= groupByAddress(this.all().filter(({ health }) => health !== MemberHealth.Gone))
    return this.#selections.byAddress.get(peerAddress) ?? []
  }

  /**
   * Takes in what another box believes. Returns whether anything changed. Word
   * that this box is suspected is refuted with a higher version; word that it is
   * gone is returned to the caller of `merge` through the listener, unrefuted.
   */
  merge (heard: Member, nowMs: number): boolean {
    if (heard.incarnation === this.#self.incarnation) return this.#mergeSelf(heard, nowMs)
    const known = this.get(heard.incarnation)
    const merged = known ? mergeMember(known, heard) : heard
    if (known && sameBelief(known, merged)) return false
    this.#put(merged, nowMs)
    return true
  }

  /** Marks an incarnation as not answering. It may come back by refuting. */
  suspect (incarnation: string, nowMs: number): void {
    const member = this.get(incarnation)
    if (member?.health === MemberHealth.Alive) this.merge({ ...member, health: MemberHealth.Suspect }, nowMs)
  }

  /** Declares an incarnation gone for good. Only on proof: another process answers at its address, or it said so. */
  declareGone (incarnation: string, nowMs: number): void {
    const member = this.get(incarnation)
    if (member) this.merge({ ...member, health: MemberHealth.Gone }, nowMs)
  }

  /** Changes what this box says of itself. */
  announce (change: Partial<Pick<Member, 'leaving' | 'health' | 'successor'>>, nowMs: number): void {
    this.#put({ ...this.#self, ...change, version: this.#self.version + 1 }, nowMs)
  }

  /** Replaces this box's own incarnation. The old one is gone. */
  takeIncarnation (incarnation: string, nowMs: number): void {
    const old = this.#self
    this.#self = { ...old, incarnation, version: 0, health: MemberHealth.Alive, successor: undefined }
    this.#put({ ...old, health: MemberHealth.Gone }, nowMs)
    this.#put(this.#self, nowMs)
  }

  /** Members that have been suspected for longer than `durationMs`. */
  suspectedLongerThan (durationMs: number, nowMs: number): Member[] {
    return this.suspected().filter(({ incarnation }) => this.unchangedForMs(incarnation, nowMs) > durationMs)
  }

  /** Forgets members that have been gone for long. */
  forgetOld (nowMs: number): void {
    [...this.#entries.values()]
      .filter(({ member, changedAtMs }) => member.health === MemberHealth.Gone && nowMs - changedAtMs > this.#goneMemoryMs)
      .forEach(({ member }) => {
        this.#entries.delete(member.incarnation)
        this.#toggleDigest(member)
        this.#selections = {}
      })
  }

  #mergeSelf (heard: Member, nowMs: number): boolean {
    if (heard.health === MemberHealth.Gone && this.#self.health !== MemberHealth.Gone) {
      this.#put({ ...this.#self, health: MemberHealth.Gone }, nowMs)
      return true
    }
    const refute = heard.health === MemberHealth.Suspect && heard.version >= this.#self.version
    if (refute) this.#put({ ...this.#self, version: heard.version + 1 }, nowMs)
    return refute
  }

  #toggleDigest (member: Member): void {
    this.#partDigests[partOf(member)] ^= beliefDigest(member)
  }

  #put (member: Member, nowMs: number): void {
    const known = this.get(member.incarnation)
    if (known) this.#toggleDigest(known)
    this.#toggleDigest(member)
    this.#entries.set(member.incarnation, { member, changedAtMs: nowMs })
    if (member.incarnation === this.#self.incarnation) this.#self = member
    this.#selections = {};
    [...this.#listeners].forEach((listener) => listener(member))
  }
}

function groupByAddress (members: readonly Member[]): Map<string, Member[]> {
  const groups = new Map<string, Member[]>()
  members.forEach((member) => {
    const group = groups.get(member.peerAddress)
    if (group) group.push(member)
    else groups.set(member.peerAddress, [member])
  })
  return groups
}

function sameBelief (a: Member, b: Member): boolean {
  return a.version === b.version && a.health === b.health && a.leaving === b.leaving && a.successor?.incarnation === b.successor?.incarnation
}

function partOf ({ incarnation }: Member): number {
  return hash32(incarnation) % PARTS
}

function beliefDigest (member: Member): number {
  return hash32([member.incarnation, member.version, member.health, member.leaving, member.successor?.incarnation ?? ''].join('|'))
}
