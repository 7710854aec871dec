import { type Clock } from '@reelspan/core.env'
import { type Member, type PeerLink, PeerLinkError } from '@reelspan/core.messages'
import { rankCoordinators, type RankedBoxes } from './rankedBoxes.js'
import { type TokenBucketStore } from './tokenBucketStore.js'
import { type LimitMessages } from './limitMessages.js'
import { type LimitedCost, SharedLimiter } from './sharedLimiter.js'

export interface CoordinatedLimiterOptions {
  clock: Clock
  link: PeerLink
  messages: LimitMessages
  /** Token buckets of the limits that this box coordinates. */
  buckets: TokenBucketStore
  /** Used when no coordinator answers. */
  local: SharedLimiter
  /** Called when a coordinator answered for the limit of that name. */
  onCoordinatorAnswered?: (name: string) => void
  /** Boxes that can be coordinators, including this one. Returns the same array until a member changes. */
  members: () => readonly Member[]
  self: () => Member
}

/** Many times the round trip to a coordinator, and a small part of the latency budget of service calls. */
const COORDINATOR_TIMEOUT_MS = 50
/** A coordinator that did not answer is skipped for about as long as it takes to become suspect. */
const SKIP_UNANSWERED_MS = 1500

/** A failed call to a coordinator. */
interface UnansweredCall {
  /** The coordinator is skipped until then. */
  untilMs: number
  /** Its process has exited. Otherwise it may be partitioned and still serve the boxes that reach it. */
  exited: boolean
}

/** Keeps the token bucket of each limit at one box, its coordinator, which others ask for each request. A box that cannot reach the coordinator falls back to a local limiter. */
export class CoordinatedLimiter extends SharedLimiter {
  readonly #opts: CoordinatedLimiterOptions
  readonly #coordinators: RankedBoxes<Member>
  /** Failed calls by the incarnation of the coordinator. */
  readonly #unanswered = new Map<string, UnansweredCall>()
  /** Where each cost was acquired, so that it can be released there. */
  readonly #acquiredFrom = new WeakMap<LimitedCost, Member | SharedLimiter>()

  constructor (opts: CoordinatedLimiterOptions) {
    super()
    this.#opts = opts
    this.#coordinators = rankCoordinators(opts.members)
  }

  async acquire (charge: LimitedCost): Promise<number> {
    const { local } = this.#opts
    const answer = await this.#askCoordinators(charge, this.#coordinators.of(charge.name))
    if (answer !== undefined) return answer
    this.#acquiredFrom.set(charge, local)
    // By then the coordinator is asked again, or has been replaced.
    return Math.min(await local.acquire(charge), SKIP_UNANSWERED_MS)
  }

  release (charge: LimitedCost): void {
    const { buckets, link, messages, self } = this.#opts
    const acquiredFrom = this.#acquiredFrom.get(charge)
    if (!acquiredFrom) return
    this.#acquiredFrom.delete(charge)
    if (acquiredFrom instanceof SharedLimiter) return acquiredFrom.release(charge)
    if (acquiredFrom.incarnation === self().incarnation) return buckets.release(charge.name, charge.cost)
    // The link logs a failure. Tokens that are not released are refilled at the limit's rate.
    link.call(acquiredFrom.peerAddress, messages.release(charge), { timeoutMs: COORDINATOR_TIMEOUT_MS, repeatable: false }).catch(() => {})
  }

  /** Whether this box is the coordinator of a limit, according to its own view of the members. */
  isCoordinator (name: string): boolean {
    return this.#coordinators.of(name)[0]?.incarnation === this.#opts.self().incarnation
  }

  async #askCoordinators (charge: LimitedCost, [coordinator, ...others]: readonly Member[]): Promise<number | undefined> {
    if (!coordinator) return undefined
    const answer = this.#unansweredBy(coordinator) ? undefined : await this.#ask(coordinator, charge)
    if (answer === undefined) return this.#unansweredBy(coordinator)?.exited ? this.#askCoordinators(charge, others) : undefined
    this.#acquiredFrom.set(charge, coordinator)
    this.#opts.onCoordinatorAnswered?.(charge.name)
    return answer
  }

  async #ask (coordinator: Member, charge: LimitedCost): Promise<number | undefined> {
    const { buckets, clock, link, messages, self } = this.#opts
    if (coordinator.incarnation === self().incarnation) return buckets.acquire(charge.name, charge.cost)
    try {
      const answer = await link.call(coordinator.peerAddress, messages.acquire(charge), { timeoutMs: COORDINATOR_TIMEOUT_MS, repeatable: false })
      return messages.waitMsIn(answer)
    } catch (thrown) {
      // The link logs the failure.
      const exited = thrown instanceof PeerLinkError && thrown.refused
      this.#unanswered.set(coordinator.incarnation, { untilMs: clock.nowMs() + SKIP_UNANSWERED_MS, exited })
      return undefined
    }
  }

  #unansweredBy ({ incarnation }: Member): UnansweredCall | undefined {
    const unanswered = this.#unanswered.get(incarnation)
    if (!unanswered || unanswered.untilMs > this.#opts.clock.nowMs()) return unanswered
    this.#unanswered.delete(incarnation)
    return undefined
  }
}
