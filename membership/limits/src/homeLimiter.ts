import { type Clock } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type Member, type PeerLink, PeerLinkError } from '@reelspan/core.messages'
import { type LimitBook } from './limitBook.js'
import { type LimitMessages } from './limitMessages.js'
import { type LimitedCost, SharedLimiter } from './sharedLimiter.js'

export interface HomeLimiterOptions {
  clock: Clock
  link: PeerLink
  messages: LimitMessages
  /** The buckets that are kept here, for the limits that have their home at this box. */
  book: LimitBook
  /** Decides here when no home answers. */
  alone: SharedLimiter
  /** A home has answered for the limit of that name. */
  onHomeAnswered?: (name: string) => void
  /** Boxes that may be homes, this one included. The same list until one changes. */
  members: () => readonly Member[]
  self: () => Member
}

/** Many times the way to a home and back, and a small part of the time in which calls to services are to be answered. */
const HOME_TIMEOUT_MS = 50
/** A home that did not answer is passed over for as long as it takes to be suspected. */
const PASSED_OVER_MS = 1500
/** The home, and the one that follows when its process has ended. */
const HOMES = 2

/** A home that did not answer. */
interface Unanswered {
  untilMs: number
  /** Its process has ended. Else it may be cut off, and keep the bucket for those that reach it. */
  ended: boolean
}

/** One box, the home of a limit, keeps its bucket; others ask it for each request. Who cannot reach it has its even share. */
export class HomeLimiter extends SharedLimiter {
  readonly #opts: HomeLimiterOptions
  /** Homes by the limits' names, worked out anew when the members change. */
  readonly #homes = new Map<string, readonly Member[]>()
  #homesAmong?: readonly Member[]
  /** Boxes that did not answer, by incarnation. */
  readonly #unanswered = new Map<string, Unanswered>()
  /** Where each cost that may be given back was taken. */
  readonly #takenAt = new WeakMap<LimitedCost, Member | SharedLimiter>()

  constructor (opts: HomeLimiterOptions) {
    super()
    this.#opts = opts
  }

  async take (taken: LimitedCost): Promise<number> {
    const { alone } = this.#opts
    const answer = await this.#askHomes(taken, this.#homesOf(taken.name))
    if (answer !== undefined) return answer
    this.#takenAt.set(taken, alone)
    // By then the home is asked again, or there is another one.
    return Math.min(await alone.take(taken), PASSED_OVER_MS)
  }

  giveBack (taken: LimitedCost): void {
    const { book, link, messages, self } = this.#opts
    const home = this.#takenAt.get(taken)
    if (!home) return
    this.#takenAt.delete(taken)
    if (home instanceof SharedLimiter) return home.giveBack(taken)
    if (home.incarnation === self().incarnation) return book.giveBack(taken.name, taken.cost)
    // What is lost on the way is filled up again by the rate; the link tells of it.
    link.call(home.peerAddress, messages.giveBack(taken), { timeoutMs: HOME_TIMEOUT_MS, repeatable: false }).catch(() => {})
  }

  /** Whether this box is the home of a limit, as it sees the members. */
  isHome (name: string): boolean {
    return this.#homesOf(name)[0]?.incarnation === this.#opts.self().incarnation
  }

  async #askHomes (taken: LimitedCost, [home, ...others]: readonly Member[]): Promise<number | undefined> {
    if (!home) return undefined
    const answer = this.#unansweredBy(home) ? undefined : await this.#ask(home, taken)
    if (answer === undefined) return this.#unansweredBy(home)?.ended ? this.#askHomes(taken, others) : undefined
    this.#takenAt.set(taken, home)
    this.#opts.onHomeAnswered?.(taken.name)
    return answer
  }

  async #ask (home: Member, taken: LimitedCost): Promise<number | undefined> {
    const { book, clock, link, messages, self } = this.#opts
    if (home.incarnation === self().incarnation) return book.take(taken.name, taken.cost)
    try {
      const answer = await link.call(home.peerAddress, messages.take(taken), { timeoutMs: HOME_TIMEOUT_MS, repeatable: false })
      return messages.waitMsIn(answer)
    } catch (thrown) {
      // The link tells of the failure.
      const ended = thrown instanceof PeerLinkError && thrown.refused
      this.#unanswered.set(home.incarnation, { untilMs: clock.nowMs() + PASSED_OVER_MS, ended })
      return undefined
    }
  }

  #unansweredBy ({ incarnation }: Member): Unanswered | undefined {
    const unanswered = this.#unanswered.get(incarnation)
    if (!unanswered || unanswered.untilMs > this.#opts.clock.nowMs()) return unanswered
    this.#unanswered.delete(incarnation)
    return undefined
  }

  #homesOf (name: string): readonly Member[] {
    const members = this.#opts.members()
    if (members !== this.#homesAmong) {
      this.#homesAmong = members
      this.#homes.clear()
    }
    const known = this.#homes.get(name)
    if (known) return known
    const homes = rankByRendezvous(`limit|${name}`, [...members], ({ incarnation }) => incarnation).slice(0, HOMES)
    this.#homes.set(name, homes)
    return homes
  }
}
