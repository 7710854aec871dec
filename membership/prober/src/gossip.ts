import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type PeerLink, type PeerMessage } from '@reelspan/core.messages'
import { type Aged, Flood } from './flood.js'

/** What a box knows of one kind of news. */
export abstract class NewsBook<T extends Aged> {
  /** Equal at two boxes that know the same; 0 where nothing is known. */
  abstract get digest (): number

  /** Whether boxes that have heard the same know the same. Where room is short they forget different things. */
  abstract get comparable (): boolean

  /** Takes news in. Answers whether it was new. */
  abstract add (news: T): boolean

  /** All that is known, as it is told to others. */
  abstract all (): T[]

  /** Forgets what is too old. */
  abstract expire (): void
}

/** How boxes speak of one kind of news. */
export abstract class NewsMessages<T extends Aged> {
  abstract tell (news: readonly T[]): PeerMessage

  /** Asks for all that a peer knows. */
  abstract pull (known: readonly T[]): PeerMessage

  /** What such an answer has; nothing if it is no such answer. */
  abstract contentOf (answer: PeerMessage): readonly T[] | undefined
}

export interface GossipOptions<T extends Aged> {
  clock: Clock
  link: PeerLink
  book: NewsBook<T>
  messages: NewsMessages<T>
  /** Addresses of the members that this box watches: news that each box passes on to them reaches all. */
  watchedAddresses: () => readonly string[]
  /** Whether news of others is told on; digests show the rest. All is without. */
  mayTell?: (news: T) => boolean
  /** News that was new here. */
  onAdded?: (news: readonly T[]) => void
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

/** As for other calls between boxes. */
const CALL_TIMEOUT_MS = 300
/** Between two requests for all that peers know, whichever peer is asked: news under way makes digests differ for a moment. */
const PULL_EVERY_MS = 500

/**
 * Tells all boxes of news. What is lost on the way, or was told while a box was
 * cut off or did not run yet, shows in the digests that heartbeats carry, and is asked for.
 */
export class Gossip<T extends Aged> {
  readonly #opts: GossipOptions<T>
  readonly #tasks: TaskGroup
  readonly #flood: Flood<T>
  #pulledAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: GossipOptions<T>) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#flood = new Flood({ ...opts, send: (address, news, signal) => this.#send(address, news, signal) })
  }

  /** Tells the watched members soon. */
  tell (news: readonly T[]): void {
    this.#flood.tell(news)
  }

  /** Takes in what another box tells, and passes on what is new. */
  take (news: readonly T[]): void {
    const added = news.filter((one) => this.#opts.book.add(one))
    if (added.length === 0) return
    const { onAdded, mayTell = () => true } = this.#opts
    onAdded?.(added)
    this.tell(added.filter(mayTell))
  }

  /** What this box knows, for a peer that asks. */
  known (): T[] {
    return this.#opts.book.all()
  }

  /** A peer named the digest of what it knows; none when it knows of nothing. */
  hear (address: string, digest: number | undefined): void {
    const { clock, book } = this.#opts
    book.expire()
    const nowMs = clock.nowMs()
    if (digest === undefined || digest === book.digest || !book.comparable || nowMs - this.#pulledAtMs < PULL_EVERY_MS) return
    this.#pulledAtMs = nowMs
    this.#tasks.run(() => this.#pull(address))
  }

  async stop (): Promise<void> {
    await Promise.all([this.#flood.stop(), this.#tasks.stop()])
  }

  async #send (address: string, news: readonly T[], signal: AbortSignal): Promise<void> {
    const { link, messages } = this.#opts
    // The link tells of a failure; the digests show what was not heard.
    await link.call(address, messages.tell(news), { timeoutMs: CALL_TIMEOUT_MS, repeatable: true, signal }).catch(() => {})
  }

  async #pull (address: string): Promise<void> {
    const { link, messages } = this.#opts
    const opts = { timeoutMs: CALL_TIMEOUT_MS, repeatable: true, signal: this.#tasks.signal }
    // The link tells of a failure; the next heartbeat shows the difference again.
    const answer = await link.call(address, messages.pull(this.known()), opts).catch(() => undefined)
    const content = answer && messages.contentOf(answer)
    if (content) this.take(content)
  }
}
