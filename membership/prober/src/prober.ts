import { type AdvertisedProof } from '@reelspan/accounts.proof'
import { type Clock, type Random, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { Collection, type Member, MemberHealth, type MessageOf, MessageType, type PeerLink, PeerLinkError, type PeerMessage, type PlatformAvailability } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { HeartbeatContent } from './heartbeatContent.js'
import { SuspensionDetector } from './suspensionDetector.js'
import { RevisionAnnouncer } from './revisionAnnouncer.js'
import { watchedMembers } from './watchedMembers.js'

/** Digests of the updates that a box knows, by kind. Undefined for a kind without updates. */
export type UpdateDigests = Pick<MessageOf<MessageType.Heartbeat>, 'runsDigest' | 'upstreamStatesDigest'>

export interface ProberOptions {
  clock: Clock
  random: Random
  link: PeerLink
  view: MembershipView
  /** Addresses of the boxes in the platform's list. */
  listedAddresses: () => readonly string[]
  revisions: () => Record<Collection, number>
  inFlight: () => number
  /** The platform's availability as known to this box; sent to peers. */
  platformAvailability: () => PlatformAvailability | undefined
  /** Called with the platform's availability that a peer reported. */
  onPlatformAvailability: (reported: PlatformAvailability) => void
  /** Called when a peer reports its revisions. */
  onPeerRevisions: (address: string, revisions: Record<Collection, number>) => void
  /** Digests of the updates that this box knows. */
  updateDigests?: () => UpdateDigests
  /** Called when a peer reports the digests of its updates. */
  onPeerUpdateDigests?: (address: string, digests: UpdateDigests) => void
  /** The freshness proof of this box's configuration; included in answers to heartbeats. */
  proof?: () => AdvertisedProof | undefined
  /** Called with the freshness proof of a peer that was asked at `askedAtMs`. */
  onPeerProof?: (proof: AdvertisedProof, askedAtMs: number) => void
  probePeriodMs: number
  probeTimeoutMs: number
  /** Number of members that each box watches. */
  watchCount: number
  /** A member that has been suspect for longer than this is declared gone. Long, because a network partition between regions looks the same. */
  silentGoneMs: number
  /** Called when a contacted box's address refused the connection, so that no process listens there. */
  onRefused?: (address: string) => void
  /** Called when a task fails with an unexpected error. */
  onTaskError?: TaskErrorListener
}

const MAX_INDIRECT_PROBES = 2
/** One round in this many also contacts a listed box that is not known to be live. */
const REJOIN_PERIOD_ROUNDS = 4
/** Boxes that contact a suspect member in one round, on average, independently of the fleet's size: enough to detect its recovery soon. */
const CONTACTS_PER_SUSPECT = 4
/** Maximum number of suspect members contacted in one round after one of them answered: many recover together when a partition ends. */
const MAX_SUSPECTS_CONTACTED = 15
/**
 * Retry period of a box that knows no peers. Boxes that start together are up within a few hundred ms of
 * each other, and each schedules independently until they know each other: five boxes that did so for 2 s had
 * one in four of their placements refused by engines.
 */
const ISOLATED_PERIOD_MS = 100
/** After this many attempts only the regular rounds look for peers. */
const ISOLATED_ATTEMPTS = 100
/** Boxes that an isolated box contacts in one attempt. */
const ISOLATED_CONTACTS = 3
/**
 * Timeout of an isolated box's heartbeats, in probe timeouts. When hundreds of boxes start together, all contact the
 * same few, which then take longer than a probe timeout to answer; retries before that would overload them permanently.
 */
const ISOLATED_TIMEOUT_FACTOR = 4
/** Minimum number of rounds between two comparisons of views, so that updates have time to spread. */
const COMPARE_PERIOD_ROUNDS = 4

interface HeartbeatOptions {
  /** If omitted, any incarnation at the address answers. */
  expectedIncarnation?: string
  timeoutMs?: number
}

/** Detects which members are alive by heartbeats and probes, and spreads changes by gossip. Its cost per box does not grow with the fleet. */
export class Prober {
  readonly #opts: ProberOptions
  readonly #tasks: TaskGroup
  readonly #content: HeartbeatContent
  readonly #revisionAnnouncer: RevisionAnnouncer
  #ringMembers?: readonly Member[]
  #ringWatched: readonly Member[] = []
  readonly #suspensionDetector: SuspensionDetector
  #round = 0
  #pulledInRound = -1
  #lastMajorityContactMs: number
  #lastQuorumContactMs: number

  constructor (opts: ProberOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#suspensionDetector = new SuspensionDetector(opts.clock)
    this.#content = new HeartbeatContent(opts, {
      onReported: (incarnation, revisions) => this.#revisionAnnouncer.recordReported(incarnation, revisions),
      onGone: (incarnation) => this.#forget(incarnation),
    })
    this.#revisionAnnouncer = new RevisionAnnouncer({
      clock: opts.clock,
      probePeriodMs: opts.probePeriodMs,
      revisions: opts.revisions,
      watched: () => this.#watched(),
      announce: ({ peerAddress }) => this.#contact(peerAddress),
      signal: this.#tasks.signal,
    })
    this.#lastMajorityContactMs = opts.clock.nowMs()
    this.#lastQuorumContactMs = this.#lastMajorityContactMs
  }

  /** Requests in flight at a member, as it last reported. */
  loadOf (incarnation: string): number | undefined {
    return this.#content.loadOf(incarnation)
  }

  /**
   * Start time, by this box's clock, of the last round that most of the watched members answered. The start
   * is used rather than the end because a box that was paused in between reads answers sent before its pause.
   */
  get lastMajorityContactMs (): number {
    return this.#lastMajorityContactMs
  }

  /**
   * As above, of the last such round while most of the members that are not known to be gone were live. Suspect members
   * are not watched, so a few boxes that are cut off together soon have contact with most of those that they watch.
   */
  get lastQuorumContactMs (): number {
    return this.#lastQuorumContactMs
  }

  /** Sends heartbeats to the given boxes and returns once each has answered or failed. */
  async join (addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map((address) => this.#contact(address)))
  }

  start (): void {
    this.#tasks.repeat(() => this.#probeRound(), { periodMs: this.#opts.probePeriodMs })
    // Runs separately, so that probe rounds do not wait for members that do not answer.
    this.#tasks.repeat(() => this.#contactSuspected(), { periodMs: this.#opts.probePeriodMs })
    this.#tasks.run(() => this.#forwardUpdates())
    this.#tasks.run(() => this.#contactWhileIsolated())
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  /** Sends heartbeats to the watched members immediately, for a change that should not wait for the next round. */
  async sendHeartbeatsNow (): Promise<void> {
    // The link logs a failure; the next round probes again and handles it.
    await Promise.all(this.#watched().map((member) => this.#heartbeat(member.peerAddress).catch(() => {})))
  }

  /** Sends the revisions in force here to the watched members that have not reported them: immediately, or together with others that follow soon. */
  async announceRevisionsSoon (): Promise<void> {
    await this.#revisionAnnouncer.announceSoon()
  }

  /**
   * Whether this box was suspended without its clock counting the time, for at least half of `durationMs`
   * by the clocks of the watched members. Returns true if none of them answers, since that does not rule it out.
   */
  async wasSuspendedFor (durationMs: number): Promise<boolean> {
    const askedAtMs = this.#opts.clock.nowMs()
    const answered = await Promise.all(this.#watched().map(({ peerAddress }) => this.#contact(peerAddress)))
    return answered.every((contacted) => !contacted) || this.#suspensionDetector.suspendedMsSince(askedAtMs) >= durationMs / 2
  }

  /** Sends a heartbeat to a random one of the members. Its answer carries its freshness proof. */
  async contactAny (members: readonly Member[]): Promise<void> {
    const { random, view } = this.#opts
    const others = members.filter(({ incarnation }) => incarnation !== view.self.incarnation)
    await Promise.all(random.sample(others, 1).map(({ peerAddress }) => this.#contact(peerAddress)))
  }

  /** Peer addresses of the watched members. */
  watchedAddresses (): string[] {
    return this.#watched().map(({ peerAddress }) => peerAddress)
  }

  /** Answers a membership message of a peer. Returns undefined for any other message. */
  async answer (message: PeerMessage): Promise<PeerMessage | undefined> {
    switch (message.type) {
      case MessageType.Heartbeat:
        this.#content.receive(message)
        return { type: MessageType.HeartbeatAck, ...this.#content.compose(message.self, message.news), heardAgoMs: this.#suspensionDetector.recordReceived(message.self.incarnation), proof: this.#opts.proof?.() }
      case MessageType.ProbeFor:
        return { type: MessageType.ProbeResult, member: await this.#probeFor(message) }
      case MessageType.MembersPull:
        return { type: MessageType.MembersState, members: this.#opts.view.differingFrom(message.partDigests) }
      default:
        return undefined
    }
  }

  async #probeRound (): Promise<void> {
    const { clock, view, silentGoneMs } = this.#opts
    this.#round++
    const askedAtMs = clock.nowMs()
    const watched = this.#watched()
    const rejoin = this.#round % REJOIN_PERIOD_ROUNDS === 0 ? this.#notLiveAddresses(1) : []
    const contested = this.#contestedAddresses().slice(0, 1)
    const [answers] = await Promise.all([
      Promise.all(watched.map((member) => this.#probe(member))),
      ...[...rejoin, ...contested].map((address) => this.#contact(address)),
    ])
    const nowMs = clock.nowMs()
    if (2 * answers.filter((answered) => answered).length > watched.length) {
      this.#lastMajorityContactMs = askedAtMs
      if (view.live().length > view.suspected().length) this.#lastQuorumContactMs = askedAtMs
    }
    view.suspectedLongerThan(silentGoneMs, nowMs).forEach(({ incarnation }) => view.declareGone(incarnation, nowMs))
    view.removeExpired(nowMs)
  }

  /** The ring is recomputed only when a member has changed, because it takes a hash per member (195 in a large fleet) and a sort. */
  #watched (): readonly Member[] {
    const { view, watchCount } = this.#opts
    const live = view.live()
    if (live !== this.#ringMembers) this.#ringWatched = watchedMembers(view.self, live, watchCount)
    this.#ringMembers = live
    return this.#ringWatched
  }

  /** Returns whether the member itself answered. */
  async #probe (member: Member): Promise<boolean> {
    const { clock, view } = this.#opts
    const sentAtMs = clock.nowMs()
    try {
      await this.#heartbeat(member.peerAddress, { expectedIncarnation: member.incarnation })
      return true
    } catch (thrown) {
      // If this process was paused during the wait, the timeout proves nothing about the member.
      const wasPaused = clock.nowMs() - sentAtMs > 3 * this.#opts.probeTimeoutMs
      if (isRefusal(thrown)) await this.#confirmRefusal(member)
      else if (!wasPaused && !await this.#probeIndirectly(member)) view.suspect(member.incarnation, clock.nowMs())
      return false
    }
  }

  /**
   * A refused connection means that the machine runs but no process listens at the
   * address, so that the member is gone; a suspended process would not refuse. It is
   * probed twice, because a single refusal may be a transient network fault.
   */
  async #confirmRefusal (member: Member): Promise<void> {
    const { clock, view, probeTimeoutMs } = this.#opts
    view.suspect(member.incarnation, clock.nowMs())
    await clock.sleep(probeTimeoutMs, { signal: this.#tasks.signal })
    const again = await this.#heartbeat(member.peerAddress, { expectedIncarnation: member.incarnation }).catch((thrown: unknown) => thrown)
    if (isRefusal(again)) view.declareGone(member.incarnation, clock.nowMs())
  }

  async #probeIndirectly (member: Member): Promise<boolean> {
    const { clock, random, link, view, probeTimeoutMs } = this.#opts
    const helpers = random.sample(view.live().filter(({ incarnation }) => incarnation !== member.incarnation && incarnation !== view.self.incarnation), MAX_INDIRECT_PROBES)
    const results = await Promise.all(helpers.map(async (helper) => {
      const question = { type: MessageType.ProbeFor, address: member.peerAddress, incarnation: member.incarnation } as const
      // A helper that does not answer counts as one that did not reach the member; the link logs the failure.
      const answer = await link.call(helper.peerAddress, question, { timeoutMs: 2 * probeTimeoutMs, repeatable: true }).catch(() => undefined)
      return answer?.type === MessageType.ProbeResult ? answer.member : undefined
    }))
    const found = results.filter((result) => result !== undefined)
    found.forEach((result) => this.#declareOthersGone(member.peerAddress, result, clock.nowMs()))
    return found.some(({ incarnation }) => incarnation === member.incarnation)
  }

  async #probeFor (question: MessageOf<MessageType.ProbeFor>): Promise<Member | undefined> {
    // A member that does not answer is a result for the asking peer; the link logs the failure.
    const answer = await this.#heartbeat(question.address, { expectedIncarnation: question.incarnation }).catch(() => undefined)
    return answer?.self
  }

  /** Contacts listed boxes at short intervals while this box knows no peers, because they may start a little later. */
  async #contactWhileIsolated (): Promise<void> {
    const { clock, probeTimeoutMs, view } = this.#opts
    const contacted = new Set<string>()
    for (let attempts = 0; attempts < ISOLATED_ATTEMPTS && view.live().length <= 1 && !this.#tasks.stopped; attempts++) {
      // An address that has not answered yet is not contacted again until its heartbeat times out.
      this.#notLiveAddresses(ISOLATED_CONTACTS).filter((address) => !contacted.has(address)).forEach((address) => {
        contacted.add(address)
        void this.#contact(address, ISOLATED_TIMEOUT_FACTOR * probeTimeoutMs).finally(() => contacted.delete(address))
      })
      await clock.sleep(ISOLATED_PERIOD_MS, { signal: this.#tasks.signal })
    }
  }

  /** Contacts one random suspect member with a probability that bounds the contacts of all boxes, then twice as many each time while any of them answers. */
  async #contactSuspected (): Promise<void> {
    const { random, view } = this.#opts
    const share = CONTACTS_PER_SUSPECT * view.suspected().length / view.live().length
    if (random.nextFloat() >= share) return
    const contacted = new Set<string>()
    for (let count = 1, answered = true; answered && contacted.size < MAX_SUSPECTS_CONTACTED; count *= 2) {
      const left = view.suspected().map(({ peerAddress }) => peerAddress).filter((address) => !contacted.has(address))
      const chosen = random.sample(left, count)
      chosen.forEach((address) => contacted.add(address))
      const answers = await Promise.all(chosen.map((address) => this.#contact(address)))
      answered = answers.some((one) => one)
    }
  }

  /** Returns whether a box answered. */
  async #contact (address: string, timeoutMs?: number): Promise<boolean> {
    try {
      await this.#heartbeat(address, { timeoutMs })
      return true
    } catch (thrown) {
      if (isRefusal(thrown)) this.#opts.onRefused?.(address)
      // The link logs a failure. The state of a member that does not answer stays as it is.
      return false
    }
  }

  async #heartbeat (address: string, { expectedIncarnation, timeoutMs = this.#opts.probeTimeoutMs }: HeartbeatOptions = {}): Promise<MessageOf<MessageType.HeartbeatAck>> {
    const { clock, link, view } = this.#opts
    const message = { type: MessageType.Heartbeat, ...this.#content.compose(view.atAddress(address)), expectedIncarnation } as const
    const sentAtMs = clock.nowMs()
    const answer = await link.call(address, message, { timeoutMs, repeatable: true })
    if (answer.type !== MessageType.HeartbeatAck) throw new PeerLinkError(`${address} answered a heartbeat with ${answer.type}`, { mayHaveArrived: true })
    this.#suspensionDetector.recordAnswered(answer.self.incarnation, sentAtMs, answer.heardAgoMs)
    this.#declareOthersGone(address, answer.self, clock.nowMs())
    this.#content.receive(answer)
    // Only proofs in answers count: their age is bounded by the time of the question, whereas an unsolicited message may have been delayed for long.
    if (answer.proof && answer.numbering !== undefined) this.#opts.onPeerProof?.(answer.proof, sentAtMs)
    if (answer.digest !== view.digest) await this.#pullMembers(address)
    return answer
  }

  /** Declares all other incarnations at an address gone: an answer proves that its sender replaced them. */
  #declareOthersGone (address: string, answering: Member, nowMs: number): void {
    const { view } = this.#opts
    // A late answer of an incarnation that is already gone proves nothing about its successor.
    if (view.get(answering.incarnation)?.health === MemberHealth.Gone) return
    view.allAtAddress(address)
      .filter(({ incarnation }) => incarnation !== answering.incarnation)
      .forEach(({ incarnation }) => view.declareGone(incarnation, nowMs))
  }

  /** Compares views that still differ after an exchange of updates, part by part, at most once in a few rounds. */
  async #pullMembers (address: string): Promise<void> {
    const { link, view, probeTimeoutMs } = this.#opts
    const isFirst = this.#pulledInRound < 0
    if (!isFirst && this.#round - this.#pulledInRound < COMPARE_PERIOD_ROUNDS) return
    this.#pulledInRound = this.#round
    const state = await link.call(address, { type: MessageType.MembersPull, partDigests: [...view.partDigests] }, { timeoutMs: 4 * probeTimeoutMs, repeatable: true })
    if (state.type !== MessageType.MembersState) return
    this.#content.mergePulled(state.members)
  }

  #forget (incarnation: string): void {
    this.#suspensionDetector.forget(incarnation)
    this.#revisionAnnouncer.forget(incarnation)
  }

  /** Forwards updates soon after they arrive, instead of in the next round. */
  async #forwardUpdates (): Promise<void> {
    const { clock, probePeriodMs } = this.#opts
    while (!this.#tasks.stopped) {
      await this.#content.waitForUpdates(this.#tasks.signal)
      await clock.sleep(probePeriodMs / 10, { signal: this.#tasks.signal })
      if (!this.#tasks.stopped) await this.sendHeartbeatsNow()
    }
  }

  /** Addresses that several incarnations claim. A heartbeat there shows which one is alive. */
  #contestedAddresses (): string[] {
    const { view } = this.#opts
    const contested = view.all().filter((member) => member.health !== MemberHealth.Gone && view.atAddress(member.peerAddress) !== member)
    return [...new Set(contested.map(({ peerAddress }) => peerAddress))].filter((address) => address !== view.self.peerAddress)
  }

  #notLiveAddresses (count: number): string[] {
    const { random, view, listedAddresses } = this.#opts
    const live = new Set(view.live().map(({ peerAddress }) => peerAddress))
    return random.sample(listedAddresses().filter((address) => !live.has(address)), count)
  }
}

function isRefusal (outcome: unknown): boolean {
  return outcome instanceof PeerLinkError && outcome.refused
}
