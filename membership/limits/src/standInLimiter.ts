import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { type Member, type PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { LimitDecider, type LimitDecision } from './limitDecision.js'
import { LimitMessages } from './limitMessages.js'
import { rankCoordinators, RankedBoxes } from './rankedBoxes.js'
import { type LimitedCost, SharedLimiter } from './sharedLimiter.js'
import { type TokenBucketStore } from './tokenBucketStore.js'

/** Messages for limits that have stand-ins. */
export abstract class StandInMessages extends LimitMessages {
  /** Builds the request to a stand-in to acquire a cost from its allowance. */
  abstract acquireFromStandIn (charge: LimitedCost): PeerMessage

  /** Builds the notification to a stand-in that an acquired cost was not used. */
  abstract releaseToStandIn (charge: LimitedCost): PeerMessage

  /** Share of the limit with which an answer was decided. 0 if the answering box does not know the members yet; undefined from boxes of earlier builds. */
  abstract shareIn (answer: PeerMessage): number | undefined
}

export interface StandInLimiterOptions {
  clock: Clock
  link: PeerLink
  messages: StandInMessages
  /** Token buckets of the limits that this box coordinates. */
  buckets: TokenBucketStore
  /** Allowances of the limits for which this box stands in. */
  standInBuckets: TokenBucketStore
  /** This box's own share, used when no other box decides. */
  local: TokenBucketStore
  /** Share of the limits that this box grants as coordinator; 0 while it does not know the members. */
  coordinatorShare: () => number
  /** Share of the limits that this box grants when no other box decides. */
  localShare: () => number
  /** Boxes that can be coordinators, including this one. Returns the same array until a member changes. */
  members: () => readonly Member[]
  self: () => Member
  /** Peer addresses of the boxes that can be stand-ins. */
  listedAddresses: () => readonly string[]
  /** Whether this box knows the members well enough to agree with the others on the coordinators. */
  isSettled: () => boolean
}

/** Many times the round trip to a coordinator. The next box is asked after this time, while the answer is still awaited. */
const ASK_NEXT_AFTER_MS = 50
/** Opening a connection to a box that is busy starting takes up to 0.2 s. A late answer is still in time for most requests; a refusal is not. */
const ANSWER_TIMEOUT_MS = 300
/** A box that did not answer is skipped for about as long as it takes to become suspect. */
const SKIP_UNANSWERED_MS = 1500
/** A box whose process does not run is skipped for a shorter time, since it may be starting. */
const SKIP_REFUSED_MS = 100
/** A box that has just started waits up to this time for a stand-in to start: boxes that start together are up within some 100 ms. */
const STARTING_WAIT_MS = 300
const STARTING_RETRY_MS = 100
/** Number of stand-ins of a limit. Their allowances are parts of the tolerance, so that each further one makes all of them smaller. */
const STAND_IN_COUNT = 2
/** Time in which a box that has just started usually gets to know the members. */
const SETTLING_MS = 500

/** Wait where no time is known, since a cost is above what the deciding box ever grants: about the time in which members become known or are found to be unreachable. */
export const UNDECIDED_WAIT_MS = 1000

/** A box that can decide on a limit. */
interface Candidate {
  decider: LimitDecider.Coordinator | LimitDecider.StandIn
  address: string
  /** Undefined for stand-ins, which are chosen by address. */
  incarnation?: string
}

interface Reply extends LimitDecision {
  /** A grant, or a refusal by the box that knows the usage of the limit. Otherwise another box may still grant the cost. */
  conclusive: boolean
}

/** A failed call. */
interface UnansweredCall {
  untilMs: number
  /** Its process has exited. Otherwise it may be partitioned and still serve the boxes that reach it. */
  exited: boolean
}

/**
 * Keeps the token bucket of each limit at one box, its coordinator. While the coordinator is unknown or does not
 * answer, stand-ins grant a small allowance, and after them each box its own share.
 */
export class StandInLimiter extends SharedLimiter {
  readonly #opts: StandInLimiterOptions
  readonly #coordinators: RankedBoxes<Member>
  /** Chosen by address among the listed boxes, so that boxes which start together choose the same ones before they know each other's incarnations. */
  readonly #standIns: RankedBoxes<string>
  /** Failed calls by the incarnation of the coordinator or the address of the stand-in. */
  readonly #unanswered = new Map<string, UnansweredCall>()
  /** Where each cost was acquired; undefined if it was refused. Costs that are granted later elsewhere are released there. */
  readonly #decided = new WeakMap<LimitedCost, Candidate | LimitDecider.ThisBox | undefined>()

  constructor (opts: StandInLimiterOptions) {
    super()
    this.#opts = opts
    this.#coordinators = rankCoordinators(opts.members)
    this.#standIns = new RankedBoxes({ role: 'standIn', candidates: opts.listedAddresses, nameOf: (address) => address, count: STAND_IN_COUNT })
  }

  async acquire (charge: LimitedCost): Promise<number> {
    return (await this.decide(charge)).waitMs
  }

  /** Acquires a cost, or returns when a decision can be better. */
  async decide (charge: LimitedCost): Promise<LimitDecision> {
    return this.#decideWithin(charge, STARTING_WAIT_MS)
  }

  async #decideWithin (charge: LimitedCost, waitMs: number): Promise<LimitDecision> {
    const { clock } = this.#opts
    const replies: Reply[] = []
    const startedMs = clock.nowMs()
    const conclusive = await this.#askInTurn(charge, this.#candidates(charge.name), [], replies)
    if (conclusive) {
      if (conclusive.waitMs > 0) this.#decided.set(charge, undefined)
      return conclusive
    }
    const leftMs = waitMs - STARTING_RETRY_MS - (clock.nowMs() - startedMs)
    if (!this.#mayBeStarting(charge.name, replies) || leftMs < 0) return this.#decideHere(charge, replies)
    await clock.sleep(STARTING_RETRY_MS)
    return this.#decideWithin(charge, leftMs)
  }

  release (charge: LimitedCost): void {
    const holder = this.#decided.get(charge)
    this.#decided.set(charge, undefined)
    if (holder === LimitDecider.ThisBox) return this.#opts.local.release(charge.name, charge.cost)
    if (holder) this.#releaseAt(holder, charge)
  }

  /** Whether this box is the coordinator of a limit, according to its own view of the members. */
  isCoordinator (name: string): boolean {
    return this.#coordinators.of(name)[0]?.incarnation === this.#opts.self().incarnation
  }

  /** Decides as stand-in for another box. Only the boxes that this box also considers stand-ins have an allowance. */
  decideAsStandIn ({ name, cost }: LimitedCost): number {
    const { self, standInBuckets } = this.#opts
    return this.#standIns.of(name).includes(self().peerAddress) ? standInBuckets.acquire(name, cost) : Number.POSITIVE_INFINITY
  }

  /** Whether stand-ins have not answered because they are about to start. */
  #mayBeStarting (name: string, replies: readonly Reply[]): boolean {
    return !this.#opts.isSettled() && this.#standIns.of(name).length > 0 && replies.every(({ decider }) => decider !== LimitDecider.StandIn)
  }

  #candidates (name: string): Candidate[] {
    const standIns = this.#standIns.of(name)
      .filter((address) => !this.#unansweredBy(address))
      .map((address): Candidate => ({ decider: LimitDecider.StandIn, address }))
    const coordinator = this.#coordinator(this.#coordinators.of(name))
    if (!coordinator) return standIns
    // Before the members are known, the highest-ranked of a few is rarely the coordinator.
    return this.#opts.isSettled() ? [coordinator, ...standIns] : [...standIns, coordinator]
  }

  /** The coordinator, or the box that follows it if its process has exited; undefined if it did not answer. */
  #coordinator ([first, ...others]: readonly Member[]): Candidate | undefined {
    if (!first) return undefined
    const { peerAddress: address, incarnation } = first
    const unanswered = this.#unansweredBy(incarnation)
    if (!unanswered) return { decider: LimitDecider.Coordinator, address, incarnation }
    return unanswered.exited ? this.#coordinator(others) : undefined
  }

  /** Asks one box after the other until one decides. An earlier one that answers late still decides. */
  async #askInTurn (charge: LimitedCost, [next, ...others]: readonly Candidate[], asked: readonly Promise<Reply | undefined>[], replies: Reply[]): Promise<Reply | undefined> {
    if (!next) return firstConclusive(asked)
    const all = [...asked, this.#ask(next, charge, replies)]
    const outcome = await raceTimeout(this.#opts.clock, firstConclusive(all), ASK_NEXT_AFTER_MS)
    if (outcome !== TimedOut && outcome !== undefined) return outcome
    const successor = this.#successorOf(next, charge.name)
    return this.#askInTurn(charge, [...successor, ...others], all, replies)
  }

  /** The box that follows a coordinator whose process has just turned out to have exited. */
  #successorOf ({ decider, incarnation }: Candidate, name: string): Candidate[] {
    if (decider !== LimitDecider.Coordinator) return []
    const successor = this.#coordinator(this.#coordinators.of(name))
    return successor && successor.incarnation !== incarnation ? [successor] : []
  }

  async #ask (candidate: Candidate, charge: LimitedCost, replies: Reply[]): Promise<Reply | undefined> {
    const reply = await this.#replyOf(candidate, charge)
    if (!reply) return undefined
    // A share that refilled while the coordinator granted the whole limit would add to it in the next outage.
    if (reply.conclusive && candidate.decider === LimitDecider.Coordinator) this.#opts.local.skipRefill(charge.name)
    if (reply.waitMs > 0) {
      replies.push(reply)
      return reply
    }
    if (this.#decided.has(charge)) {
      this.#releaseAt(candidate, charge)
      return undefined
    }
    this.#decided.set(charge, candidate)
    return reply
  }

  async #replyOf (candidate: Candidate, charge: LimitedCost): Promise<Reply | undefined> {
    const { link, messages, self } = this.#opts
    const { decider, address } = candidate
    const isCoordinator = decider === LimitDecider.Coordinator
    if (address === self().peerAddress) return this.#replyHere(decider, charge)
    try {
      const answer = await link.call(address, isCoordinator ? messages.acquire(charge) : messages.acquireFromStandIn(charge), { timeoutMs: ANSWER_TIMEOUT_MS, repeatable: false })
      const waitMs = messages.waitMsIn(answer)
      return waitMs === undefined ? undefined : this.#toReply(decider, waitMs, messages.shareIn(answer))
    } catch (thrown) {
      // The link logs the failure.
      const exited = thrown instanceof PeerLinkError && thrown.refused
      const skipMs = exited && !isCoordinator ? SKIP_REFUSED_MS : SKIP_UNANSWERED_MS
      this.#unanswered.set(keyOf(candidate), { untilMs: this.#opts.clock.nowMs() + skipMs, exited })
      return undefined
    }
  }

  #replyHere (decider: Candidate['decider'], charge: LimitedCost): Reply {
    const { buckets, coordinatorShare } = this.#opts
    if (decider === LimitDecider.StandIn) return this.#toReply(decider, this.decideAsStandIn(charge))
    return this.#toReply(decider, buckets.acquire(charge.name, charge.cost), coordinatorShare())
  }

  #toReply (decider: Candidate['decider'], waitMs: number, share?: number): Reply {
    // With a small share of the limit, as in a small part of a partitioned network, large costs are never granted.
    const finiteWaitMs = Number.isFinite(waitMs) ? waitMs : UNDECIDED_WAIT_MS
    const knowsUsage = decider === LimitDecider.Coordinator && share !== 0 && this.#opts.isSettled()
    return { decider, waitMs: finiteWaitMs, share, conclusive: waitMs === 0 || knowsUsage }
  }

  #decideHere (charge: LimitedCost, replies: readonly Reply[]): LimitDecision {
    const { local, localShare } = this.#opts
    const localWaitMs = local.acquire(charge.name, charge.cost)
    this.#decided.set(charge, localWaitMs === 0 ? LimitDecider.ThisBox : undefined)
    if (localWaitMs === 0) return { waitMs: 0, decider: LimitDecider.ThisBox, share: localShare() }
    const waitMs = Math.max(1, Math.min(localWaitMs, ...replies.map((reply) => reply.waitMs), this.#askAgainInMs(charge.name)))
    const [{ decider, share } = { decider: LimitDecider.ThisBox, share: localShare() }] = replies
    return { waitMs, decider, share }
  }

  /** Time until the coordinator is asked again or has been replaced, or until this box knows the members. */
  #askAgainInMs (name: string): number {
    if (!this.#opts.isSettled()) return SETTLING_MS
    const nowMs = this.#opts.clock.nowMs()
    const waits = this.#coordinators.of(name).flatMap(({ incarnation }) => this.#unansweredBy(incarnation) ?? []).map(({ untilMs }) => untilMs - nowMs)
    return waits.length > 0 ? Math.min(...waits) : SKIP_UNANSWERED_MS
  }

  #releaseAt (holder: Candidate, charge: LimitedCost): void {
    const { buckets, link, messages, self, standInBuckets } = this.#opts
    const isCoordinator = holder.decider === LimitDecider.Coordinator
    if (holder.address === self().peerAddress) return (isCoordinator ? buckets : standInBuckets).release(charge.name, charge.cost)
    // The link logs a failure. Tokens that are not released are refilled at the limit's rate.
    link.call(holder.address, isCoordinator ? messages.release(charge) : messages.releaseToStandIn(charge), { timeoutMs: ANSWER_TIMEOUT_MS, repeatable: false }).catch(() => {})
  }

  #unansweredBy (key: string): UnansweredCall | undefined {
    const unanswered = this.#unanswered.get(key)
    if (!unanswered || unanswered.untilMs > this.#opts.clock.nowMs()) return unanswered
    this.#unanswered.delete(key)
    return undefined
  }
}

function keyOf ({ address, incarnation }: Candidate): string {
  return incarnation ?? address
}

/** The first reply that decides; undefined if there is none. */
async function firstConclusive (asked: readonly Promise<Reply | undefined>[]): Promise<Reply | undefined> {
  const deciding = asked.map(async (one) => {
    const reply = await one
    if (!reply?.conclusive) throw new Error('undecided')
    return reply
  })
  return Promise.any(deciding).catch(() => undefined)
}
