import { UpstreamKind } from '@reelspan/config.fleet'
import { hash32 } from '@reelspan/core.hashing'
import { type Member, MemberHealth } from '@reelspan/core.messages'
import { mergeMember } from './mergeMember.js'

export interface MembershipViewOptions {
  self: Member
  /** How long the entry of a gone incarnation is retained. At least as long as records and request keys live. */
  goneRetentionMs: number
}

/** Number of parts of a view that have a digest of their own. */
const DIGEST_PARTS = 64

interface Entry {
  member: Member
  /** Time of the last change, by this box's clock. */
  changedAtMs: number
}

interface Selections {
  all?: readonly Member[]
  live?: readonly Member[]
  suspected?: readonly Member[]
  takingWork?: readonly Member[]
  reachingUpstreams?: readonly Member[]
  reaching?: Record<UpstreamKind, readonly Member[]>
  schedulerCandidates?: readonly Member[]
  /** Members that are not gone, by peer address. */
  byAddress?: ReadonlyMap<string, readonly Member[]>
}

/** Called with each member whose entry changed. */
export type MemberListener = (member: Member) => void

/** The state of all box incarnations as known to one box. Only the box itself changes its own entry. */
export class MembershipView {
  readonly #goneRetentionMs: number
  readonly #entries = new Map<string, Entry>()
  readonly #listeners = new Set<MemberListener>()
  #self: Member
  readonly #partDigests: number[] = Array.from({ length: DIGEST_PARTS }, () => 0)
  /** Cached lists of members, built on first use after a change, since each heartbeat reads some of them. */
  #selections: Selections = {}

  constructor (opts: MembershipViewOptions) {
    this.#goneRetentionMs = opts.goneRetentionMs
    this.#self = opts.self
    this.#put(opts.self, 0)
  }

  get self (): Member {
    return this.#self
  }

  /** Digest of the whole view; equal at two boxes with the same view. */
  get digest (): number {
    return this.#partDigests.reduce((sum, part) => sum ^ part, 0)
  }

  /** Digests of the view's parts. Two boxes compare them to find the differing parts without sending the whole view. */
  get partDigests (): readonly number[] {
    return this.#partDigests
  }

  /** Returns the members of all parts whose digests differ from the given ones. */
  differingFrom (partDigests: readonly number[]): Member[] {
    return this.all().filter((member) => this.#partDigests[partOf(member)] !== partDigests[partOf(member)])
  }

  /** Registers a listener. Returns a function that removes it. */
  onChange (listener: MemberListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  get (incarnation: string): Member | undefined {
    return this.#entries.get(incarnation)?.member
  }

  /** Time since the entry of an incarnation last changed here; 0 if it is unknown. */
  unchangedForMs (incarnation: string, nowMs: number): number {
    const entry = this.#entries.get(incarnation)
    return entry ? nowMs - entry.changedAtMs : 0
  }

  /** All known incarnations. Like the other selections, it returns the same array until a member changes. */
  all (): readonly Member[] {
    this.#selections.all ??= [...this.#entries.values()].map(({ member }) => member)
    return this.#selections.all
  }

  /** Members that are neither suspect nor gone, including this box. */
  live (): readonly Member[] {
    this.#selections.live ??= this.all().filter(({ health }) => health === MemberHealth.Alive)
    return this.#selections.live
  }

  /** Members that did not answer a probe and are not known to be gone. */
  suspected (): readonly Member[] {
    this.#selections.suspected ??= this.all().filter(({ health }) => health === MemberHealth.Suspect)
    return this.#selections.suspected
  }

  /** Live members that accept new work. */
  takingWork (): readonly Member[] {
    this.#selections.takingWork ??= this.live().filter(({ leaving }) => !leaving)
    return this.#selections.takingWork
  }

  /** Live members that accept new work and have not lost their network paths to all upstreams. */
  reachingUpstreams (): readonly Member[] {
    this.#selections.reachingUpstreams ??= this.takingWork().filter(({ upstreamsUnreachable }) => !upstreamsUnreachable)
    return this.#selections.reachingUpstreams
  }

  /** Live members that accept new work and have not lost their network paths to the upstreams of a kind. */
  reaching (kind: UpstreamKind): readonly Member[] {
    const reachingKind = (oneKind: UpstreamKind) => this.takingWork().filter((member) => !lacksPaths(member, oneKind))
    this.#selections.reaching ??= { [UpstreamKind.Engine]: reachingKind(UpstreamKind.Engine), [UpstreamKind.Service]: reachingKind(UpstreamKind.Service) }
    return this.#selections.reaching[kind]
  }

  /** Whether a member, by name, is not known to have lost its network paths to the upstreams of a kind. */
  mayReach (kind: UpstreamKind, name: string): boolean {
    return !this.live().some((member) => member.name === name && lacksPaths(member, kind))
  }

  /** Members that may schedule shards, which takes reports of the engines: those that reach engines, or all if none does. */
  schedulerCandidates (): readonly Member[] {
    const reaching = this.reaching(UpstreamKind.Engine)
    this.#selections.schedulerCandidates ??= reaching.length > 0 ? reaching : this.takingWork()
    return this.#selections.schedulerCandidates
  }

  /** The first known incarnation at an address that is not gone, if any. */
  atAddress (peerAddress: string): Member | undefined {
    return this.allAtAddress(peerAddress)[0]
  }

  /** All incarnations at an address that are not gone, in the order in which they became known. */
  allAtAddress (peerAddress: string): readonly Member[] {
    this.#selections.byAddress ??= groupByAddress(this.all().filter(({ health }) => health !== MemberHealth.Gone))
    return this.#selections.byAddress.get(peerAddress) ?? []
  }

  /**
   * Merges a member's state received from another box. Returns whether anything
   * changed. A suspicion of this box is refuted with a higher version. A report that
   * this box is gone is not refuted; the listeners are called with it.
   */
  merge (received: Member, nowMs: number): boolean {
    if (received.incarnation === this.#self.incarnation) return this.#mergeSelf(received, nowMs)
    const known = this.get(received.incarnation)
    const merged = known ? mergeMember(known, received) : received
    if (known && isSameState(known, merged)) return false
    this.#put(merged, nowMs)
    return true
  }

  /** Marks an incarnation as suspect. The member can refute this. */
  suspect (incarnation: string, nowMs: number): void {
    const member = this.get(incarnation)
    if (member?.health === MemberHealth.Alive) this.merge({ ...member, health: MemberHealth.Suspect }, nowMs)
  }

  /** Declares an incarnation permanently gone. Requires proof: another process answers at its address, or the member announced it. */
  declareGone (incarnation: string, nowMs: number): void {
    const member = this.get(incarnation)
    if (member) this.merge({ ...member, health: MemberHealth.Gone }, nowMs)
  }

  /** Changes this box's own entry and raises its version. */
  announce (change: Partial<Pick<Member, 'leaving' | 'health' | 'successor' | 'upstreamsUnreachable' | 'enginesUnreachable' | 'servicesUnreachable'>>, nowMs: number): void {
    this.#put({ ...this.#self, ...change, version: this.#self.version + 1 }, nowMs)
  }

  /** Replaces this box's incarnation and marks the old one as gone. */
  replaceIncarnation (incarnation: string, nowMs: number): void {
    const old = this.#self
    this.#self = { ...old, incarnation, version: 0, health: MemberHealth.Alive, successor: undefined }
    this.#put({ ...old, health: MemberHealth.Gone }, nowMs)
    this.#put(this.#self, nowMs)
  }

  /** Members that have been suspect for longer than `durationMs`. */
  suspectedLongerThan (durationMs: number, nowMs: number): Member[] {
    return this.suspected().filter(({ incarnation }) => this.unchangedForMs(incarnation, nowMs) > durationMs)
  }

  /** Removes members that have been gone for longer than the retention time. */
  removeExpired (nowMs: number): void {
    [...this.#entries.values()]
      .filter(({ member, changedAtMs }) => member.health === MemberHealth.Gone && nowMs - changedAtMs > this.#goneRetentionMs)
      .forEach(({ member }) => {
        this.#entries.delete(member.incarnation)
        this.#toggleDigest(member)
        this.#selections = {}
      })
  }

  #mergeSelf (received: Member, nowMs: number): boolean {
    if (received.health === MemberHealth.Gone && this.#self.health !== MemberHealth.Gone) {
      this.#put({ ...this.#self, health: MemberHealth.Gone }, nowMs)
      return true
    }
    const refute = received.health === MemberHealth.Suspect && received.version >= this.#self.version
    if (refute) this.#put({ ...this.#self, version: received.version + 1 }, nowMs)
    return refute
  }

  #toggleDigest (member: Member): void {
    this.#partDigests[partOf(member)] ^= digestOf(member)
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

function isSameState (a: Member, b: Member): boolean {
  return a.version === b.version && a.health === b.health && a.leaving === b.leaving && a.successor?.incarnation === b.successor?.incarnation
}

function partOf ({ incarnation }: Member): number {
  return hash32(incarnation) % DIGEST_PARTS
}

function digestOf (member: Member): number {
  return hash32([member.incarnation, member.version, member.health, member.leaving, member.successor?.incarnation ?? ''].join('|'))
}

function lacksPaths ({ upstreamsUnreachable, enginesUnreachable, servicesUnreachable }: Member, kind: UpstreamKind): boolean {
  return upstreamsUnreachable === true || (kind === UpstreamKind.Engine ? enginesUnreachable : servicesUnreachable) === true
}
