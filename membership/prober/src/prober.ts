import { type ToldProof } from '@reelspan/accounts.proof'
import { type Clock, type Random, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { Collection, type Member, MemberHealth, type MessageOf, MessageType, type PeerLink, PeerLinkError, type PeerMessage, type PlatformAnswering } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { HeartbeatContent } from './heartbeatContent.js'
import { LostTime } from './lostTime.js'
import { RevisionAnnouncer } from './revisionAnnouncer.js'
import { watchedMembers } from './watchedMembers.js'

/** Digests of the news that a box knows, by kind. Nothing for a kind of which it knows none. */
export type NewsDigests = Pick<MessageOf<MessageType.Heartbeat>, 'runsDigest' | 'upstreamStatesDigest'>

export interface ProberOptions {
  clock: Clock
  random: Random
  link: PeerLink
  view: MembershipView
  /** Addresses of boxes that the platform lists. */
  listedAddresses: () => readonly string[]
  revisions: () => Record<Collection, number>
  inFlight: () => number
  /** What this box knows of the platform's answering; peers are told. */
  platformAnswering: () => PlatformAnswering | undefined
  /** What a peer knows of it. */
  onPlatformAnswering: (told: PlatformAnswering) => void
  /** A peer reported its revisions. */
  onPeerRevisions: (address: string, revisions: Record<Collection, number>) => void
  /** Digests of the news that this box knows. */
  newsDigests?: () => NewsDigests
  /** A peer named the digests of what it knows. */
  onPeerNewsDigests?: (address: string, digests: NewsDigests) => void
  /** What this box can prove of its configuration; whoever asks is told. */
  proof?: () => ToldProof | undefined
  /** What a peer could prove that was asked at `askedAtMs`. */
  onPeerProof?: (proof: ToldProof, askedAtMs: number) => void
  probePeriodMs: number
  probeTimeoutMs: number
  /** Members that each box watches. */
  watchCount: number
  /** A member that stayed silent for this long is taken for gone. Long, since a cut between regions looks the same. */
  silentGoneMs: number
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

const MAX_INDIRECT_PROBES = 2
/** One round in this many also probes a listed box that is not believed live. */
const REJOIN_EVERY_ROUNDS = 4
/** Boxes that greet a suspected member in one round, on average, however many there are: enough for one of them to find it soon. */
const GREETERS_PER_SUSPECT = 4
/** Suspected members that one round greets at most, once one of them has answered: a cut that heals gives many back at once. */
const MAX_SUSPECTS_GREETED = 15
/**
 * A box that knows of no other tries anew after this: boxes that start together are up within some
 * hundred ms of each other, and until they meet each one schedules alone (five did for 2 s, and
 * engines refused one in four of what was placed).
 */
const ALONE_PERIOD_MS = 100
/** From then on it is alone, and the usual rounds look for others. */
const ALONE_TRIES = 100
/** Boxes that one that is alone greets at a time. */
const ALONE_GREETED = 3
/**
 * Probe timeouts for which one that is alone waits for a box to answer its greeting. Where hundreds start together, all
 * greet the same few, which take longer than for a probe to answer them: greeted anew before that, they would never be done.
 */
const ALONE_PATIENCE = 4
/** News has had this many rounds to spread before views are compared. */
const COMPARE_EVERY_ROUNDS = 4

interface HeartbeatOptions {
  /** Whoever runs there now answers without. */
  expectedIncarnation?: string
  timeoutMs?: number
}

/** Learns which members live, and tells. Its cost for a box does not grow with the fleet. */
export class Prober {
  readonly #opts: ProberOptions
  readonly #tasks: TaskGroup
  readonly #content: HeartbeatContent
  readonly #revisionAnnouncer: RevisionAnnouncer
  #ringOf?: readonly Member[]
  #watchedOfRing: readonly Member[] = []
  readonly #lostTime: LostTime
  #round = 0
  #pulledInRound = -1
  #lastMajorityContactMs: number

  constructor (opts: ProberOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#lostTime = new LostTime(opts.clock)
    this.#content = new HeartbeatContent(opts, {
      onReported: (incarnation, revisions) => this.#revisionAnnouncer.recordReported(incarnation, revisions),
      onGone: (incarnation) => this.#forget(incarnation),
    })
    this.#revisionAnnouncer = new RevisionAnnouncer({
      clock: opts.clock,
      probePeriodMs: opts.probePeriodMs,
      revisions: opts.revisions,
      watched: () => this.#watched(),
      announce: ({ peerAddress }) => this.#greet(peerAddress),
      signal: this.#tasks.signal,
    })
    this.#lastMajorityContactMs = opts.clock.nowMs()
  }

  /** Requests in flight at a member, as it last said. */
  loadOf (incarnation: string): number | undefined {
    return this.#content.loadOf(incarnation)
  }

  /**
   * When the last round began that most of the watched members answered, on this box's clock. Not when
   * they had answered: a box that was paused in between reads answers from before its pause.
   */
  get lastMajorityContactMs (): number {
    return this.#lastMajorityContactMs
  }

  /** Meets the given boxes and returns once each has answered or failed. */
  async join (addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map((address) => this.#greet(address)))
  }

  start (): void {
    this.#tasks.repeat(() => this.#probeRound(), { periodMs: this.#opts.probePeriodMs })
    // Beside the rounds, which must not wait for those that do not answer.
    this.#tasks.repeat(() => this.#greetSuspected(), { periodMs: this.#opts.probePeriodMs })
    this.#tasks.run(() => this.#passOnNews())
    this.#tasks.run(() => this.#greetWhileAlone())
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  /** Sends own state to the watched members at once, for a change that should not wait for the next round. */
  async tellNow (): Promise<void> {
    // The link tells of a failure; the next round probes again and draws the consequence.
    await Promise.all(this.#watched().map((member) => this.#heartbeat(member.peerAddress).catch(() => {})))
  }

  /** Sends the revisions in force here to those watched members that are not known to have them: at once, or together with others that follow soon. */
  async announceRevisionsSoon (): Promise<void> {
    await this.#revisionAnnouncer.announceSoon()
  }

  /**
   * Whether time has passed for the watched members that this box's clock left out, half of
   * `durationMs` or more. Where none of them answers, nothing speaks against it.
   */
  async hasLostTime (durationMs: number): Promise<boolean> {
    const askedAtMs = this.#opts.clock.nowMs()
    const answered = await Promise.all(this.#watched().map(({ peerAddress }) => this.#greet(peerAddress)))
    return answered.every((one) => !one) || this.#lostTime.foundSince(askedAtMs) >= durationMs / 2
  }

  /** Asks some member for its state, and with it for its proof. */
  async askAnyone (members: readonly Member[]): Promise<void> {
    const { random, view } = this.#opts
    const others = members.filter(({ incarnation }) => incarnation !== view.self.incarnation)
    await Promise.all(random.sample(others, 1).map(({ peerAddress }) => this.#greet(peerAddress)))
  }

  /** Peer addresses of the members that this box watches. */
  watchedAddresses (): string[] {
    return this.#watched().map(({ peerAddress }) => peerAddress)
  }

  /** Answers a probe message of a peer, or returns nothing when the message is none. */
  async answer (message: PeerMessage): Promise<PeerMessage | undefined> {
    switch (message.type) {
      case MessageType.Heartbeat:
        this.#content.take(message)
        return { type: MessageType.HeartbeatAck, ...this.#content.own(message.self, message.news), heardAgoMs: this.#lostTime.noteHeard(message.self.incarnation), proof: this.#opts.proof?.() }
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
    const rejoin = this.#round % REJOIN_EVERY_ROUNDS === 0 ? this.#missingAddresses(1) : []
    const unsure = this.#contestedAddresses().slice(0, 1)
    const [answers] = await Promise.all([
      Promise.all(watched.map((member) => this.#probe(member))),
      ...[...rejoin, ...unsure].map((address) => this.#greet(address)),
    ])
    const nowMs = clock.nowMs()
    if (2 * answers.filter((answered) => answered).length > watched.length) this.#lastMajorityContactMs = askedAtMs
    view.suspectedLongerThan(silentGoneMs, nowMs).forEach(({ incarnation }) => view.declareGone(incarnation, nowMs))
    view.forgetOld(nowMs)
  }

  /** The ring is laid anew when a member has changed; with 195 of them that takes as many hashes and a sort. */
  #watched (): readonly Member[] {
    const { view, watchCount } = this.#opts
    const live = view.live()
    if (live !== this.#ringOf) this.#watchedOfRing = watchedMembers(view.self, live, watchCount)
    this.#ringOf = live
    return this.#watchedOfRing
  }

  /** Resolves with whether the member itself answered. */
  async #probe (member: Member): Promise<boolean> {
    const { clock, view } = this.#opts
    const sentAtMs = clock.nowMs()
    try {
      await this.#heartbeat(member.peerAddress, { expectedIncarnation: member.incarnation })
      return true
    } catch (thrown) {
      // Sleeping through the wait ourselves (a pause) proves nothing about the other side.
      const overslept = clock.nowMs() - sentAtMs > 3 * this.#opts.probeTimeoutMs
      if (isRefusal(thrown)) await this.#confirmRefusal(member)
      else if (!overslept && !await this.#askOthers(member)) view.suspect(member.incarnation, clock.nowMs())
      return false
    }
  }

  /**
   * A refused connection means that no process listens at the address, though
   * its machine runs: the member is gone. A sleeping process would not refuse.
   * It is asked twice, since one refusal may be a passing fault on the way.
   */
  async #confirmRefusal (member: Member): Promise<void> {
    const { clock, view, probeTimeoutMs } = this.#opts
    view.suspect(member.incarnation, clock.nowMs())
    await clock.sleep(probeTimeoutMs, { signal: this.#tasks.signal })
    const again = await this.#heartbeat(member.peerAddress, { expectedIncarnation: member.incarnation }).catch((thrown: unknown) => thrown)
    if (isRefusal(again)) view.declareGone(member.incarnation, clock.nowMs())
  }

  async #askOthers (member: Member): Promise<boolean> {
    const { clock, random, link, view, probeTimeoutMs } = this.#opts
    const helpers = random.sample(view.live().filter(({ incarnation }) => incarnation !== member.incarnation && incarnation !== view.self.incarnation), MAX_INDIRECT_PROBES)
    const results = await Promise.all(helpers.map(async (helper) => {
      const question = { type: MessageType.ProbeFor, address: member.peerAddress, incarnation: member.incarnation } as const
      // A helper that does not answer, of which the link tells, has not found the member either.
      const answer = await link.call(helper.peerAddress, question, { timeoutMs: 2 * probeTimeoutMs, repeatable: true }).catch(() => undefined)
      return answer?.type === MessageType.ProbeResult ? answer.member : undefined
    }))
    const found = results.filter((result) => result !== undefined)
    found.forEach((result) => this.#meet(member.peerAddress, result, clock.nowMs()))
    return found.some(({ incarnation }) => incarnation === member.incarnation)
  }

  async #probeFor (question: MessageOf<MessageType.ProbeFor>): Promise<Member | undefined> {
    // That the member does not answer is what the peer wanted to know; the link tells of it.
    const answer = await this.#heartbeat(question.address, { expectedIncarnation: question.incarnation }).catch(() => undefined)
    return answer?.self
  }

  /** Soon after its start, a box may be the first one that is up. */
  async #greetWhileAlone (): Promise<void> {
    const { clock, probeTimeoutMs, view } = this.#opts
    const greeted = new Set<string>()
    for (let tries = 0; tries < ALONE_TRIES && view.live().length <= 1 && !this.#tasks.stopped; tries++) {
      // What is silent is waited for by its own greeting, and not by the next one.
      this.#missingAddresses(ALONE_GREETED).filter((address) => !greeted.has(address)).forEach((address) => {
        greeted.add(address)
        void this.#greet(address, ALONE_PATIENCE * probeTimeoutMs).finally(() => greeted.delete(address))
      })
      await clock.sleep(ALONE_PERIOD_MS, { signal: this.#tasks.signal })
    }
  }

  /** Greets one suspected member, unless others do, and twice as many more for as long as any of them answers. */
  async #greetSuspected (): Promise<void> {
    const { random, view } = this.#opts
    const share = GREETERS_PER_SUSPECT * view.suspected().length / view.live().length
    if (random.nextFloat() >= share) return
    const greeted = new Set<string>()
    for (let count = 1, answered = true; answered && greeted.size < MAX_SUSPECTS_GREETED; count *= 2) {
      const left = view.suspected().map(({ peerAddress }) => peerAddress).filter((address) => !greeted.has(address))
      const chosen = random.sample(left, count)
      chosen.forEach((address) => greeted.add(address))
      const answers = await Promise.all(chosen.map((address) => this.#greet(address)))
      answered = answers.some((one) => one)
    }
  }

  /** Resolves with whether a box answered. */
  async #greet (address: string, timeoutMs?: number): Promise<boolean> {
    try {
      await this.#heartbeat(address, { timeoutMs })
      return true
    } catch {
      // The link tells of a failure. Whoever does not answer is believed what it was believed before.
      return false
    }
  }

  async #heartbeat (address: string, { expectedIncarnation, timeoutMs = this.#opts.probeTimeoutMs }: HeartbeatOptions = {}): Promise<MessageOf<MessageType.HeartbeatAck>> {
    const { clock, link, view } = this.#opts
    const message = { type: MessageType.Heartbeat, ...this.#content.own(view.atAddress(address)), expectedIncarnation } as const
    const sentAtMs = clock.nowMs()
    const answer = await link.call(address, message, { timeoutMs, repeatable: true })
    if (answer.type !== MessageType.HeartbeatAck) throw new PeerLinkError(`${address} answered a heartbeat with ${answer.type}`, { mayHaveArrived: true })
    this.#lostTime.noteAnswered(answer.self.incarnation, sentAtMs, answer.heardAgoMs)
    this.#meet(address, answer.self, clock.nowMs())
    this.#content.take(answer)
    // Known only now, and only as old as it was: what a peer tells unasked may have been under way for long.
    if (answer.proof && answer.numbering !== undefined) this.#opts.onPeerProof?.(answer.proof, sentAtMs)
    if (answer.digest !== view.digest) await this.#pullMembers(address)
    return answer
  }

  /** Whoever answers at an address is proof that any other incarnation there is gone. */
  #meet (address: string, answering: Member, nowMs: number): void {
    const { view } = this.#opts
    // A late answer of an incarnation that is already known as gone proves nothing about its successor.
    if (view.get(answering.incarnation)?.health === MemberHealth.Gone) return
    view.allAtAddress(address)
      .filter(({ incarnation }) => incarnation !== answering.incarnation)
      .forEach(({ incarnation }) => view.declareGone(incarnation, nowMs))
  }

  /** Views that still differ after the news was exchanged are compared part by part, once in a few rounds. */
  async #pullMembers (address: string): Promise<void> {
    const { link, view, probeTimeoutMs } = this.#opts
    const isFirst = this.#pulledInRound < 0
    if (!isFirst && this.#round - this.#pulledInRound < COMPARE_EVERY_ROUNDS) return
    this.#pulledInRound = this.#round
    const state = await link.call(address, { type: MessageType.MembersPull, partDigests: [...view.partDigests] }, { timeoutMs: 4 * probeTimeoutMs, repeatable: true })
    if (state.type !== MessageType.MembersState) return
    this.#content.mergeCompared(state.members)
  }

  #forget (incarnation: string): void {
    this.#lostTime.forget(incarnation)
    this.#revisionAnnouncer.forget(incarnation)
  }

  /** Sends news on soon after it came, instead of at the next round. */
  async #passOnNews (): Promise<void> {
    const { clock, probePeriodMs } = this.#opts
    while (!this.#tasks.stopped) {
      await this.#content.waitForNews(this.#tasks.signal)
      await clock.sleep(probePeriodMs / 10, { signal: this.#tasks.signal })
      if (!this.#tasks.stopped) await this.tellNow()
    }
  }

  /** Addresses that two incarnations claim. Asking there shows which one is gone. */
  #contestedAddresses (): string[] {
    const { view } = this.#opts
    const contested = view.all().filter((member) => member.health !== MemberHealth.Gone && view.atAddress(member.peerAddress) !== member)
    return [...new Set(contested.map(({ peerAddress }) => peerAddress))].filter((address) => address !== view.self.peerAddress)
  }

  #missingAddresses (count: number): string[] {
    const { random, view, listedAddresses } = this.#opts
    const live = new Set(view.live().map(({ peerAddress }) => peerAddress))
    return random.sample(listedAddresses().filter((address) => !live.has(address)), count)
  }
}

function isRefusal (outcome: unknown): boolean {
  return outcome instanceof PeerLinkError && outcome.refused
}
