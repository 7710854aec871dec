import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type PeerLink, type PeerMessage } from '@reelspan/core.messages'
import { type Aged, Broadcaster } from './broadcaster.js'

/** The updates of one kind that a box knows. */
export abstract class UpdateStore<T extends Aged> {
  /** Equal at two boxes that know the same updates; 0 if none is known. */
  abstract get digest (): number

  /** Whether digests can be compared: a box that dropped updates for lack of space may differ from one that received the same. */
  abstract get comparable (): boolean

  /** Adds an update. Returns whether it was new. */
  abstract add (update: T): boolean

  /** All known updates, in the form in which they are sent. */
  abstract all (): T[]

  /** Removes expired updates. */
  abstract expire (): void
}

/** Builds and reads the peer messages for one kind of update. */
export abstract class UpdateMessages<T extends Aged> {
  abstract announce (updates: readonly T[]): PeerMessage

  /** Builds a request for all updates that a peer knows. */
  abstract pull (known: readonly T[]): PeerMessage

  /** Returns the updates in the answer to `pull`, or undefined if the message is not such an answer. */
  abstract updatesOf (answer: PeerMessage): readonly T[] | undefined
}

export interface GossipOptions<T extends Aged> {
  clock: Clock
  link: PeerLink
  store: UpdateStore<T>
  messages: UpdateMessages<T>
  /** Addresses of the members that this box watches. Updates that every box forwards to its watched members reach all boxes. */
  watchedAddresses: () => readonly string[]
  /** Whether to forward an update received from another box. Others still spread through pulls. Defaults to all. */
  mayForward?: (update: T) => boolean
  /** Called with received updates that were new here. */
  onAdded?: (updates: readonly T[]) => void
  /** Called when a task fails with an unexpected error. */
  onTaskError?: TaskErrorListener
}

/** The same as for other calls between boxes. */
const PEER_CALL_TIMEOUT_MS = 300
/** Minimum interval between two pulls, from any peer: updates in flight make digests differ briefly. */
const MIN_PULL_INTERVAL_MS = 500

/**
 * Spreads updates to all boxes. Updates that a box missed because a message was lost, or because
 * the box was partitioned or not started yet, make the digests in heartbeats differ and are then pulled.
 */
export class Gossip<T extends Aged> {
  readonly #opts: GossipOptions<T>
  readonly #tasks: TaskGroup
  readonly #broadcaster: Broadcaster<T>
  #pulledAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: GossipOptions<T>) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#broadcaster = new Broadcaster({ ...opts, send: (address, updates, signal) => this.#send(address, updates, signal) })
  }

  /** Sends updates to the watched members after a short delay. */
  announce (updates: readonly T[]): void {
    this.#broadcaster.broadcast(updates)
  }

  /** Adds updates received from another box, and forwards the new ones. */
  receive (updates: readonly T[]): void {
    const added = updates.filter((update) => this.#opts.store.add(update))
    if (added.length === 0) return
    const { onAdded, mayForward = () => true } = this.#opts
    onAdded?.(added)
    this.announce(added.filter(mayForward))
  }

  /** All updates known to this box, for a peer that pulls them. */
  known (): T[] {
    return this.#opts.store.all()
  }

  /** Compares the digest that a peer reported, and pulls from the peer if it differs. A peer that knows no updates reports none. */
  receiveDigest (address: string, digest: number | undefined): void {
    const { clock, store } = this.#opts
    store.expire()
    const nowMs = clock.nowMs()
    if (digest === undefined || digest === store.digest || !store.comparable || nowMs - this.#pulledAtMs < MIN_PULL_INTERVAL_MS) return
    this.#pulledAtMs = nowMs
    this.#tasks.run(() => this.#pull(address))
  }

  async stop (): Promise<void> {
    await Promise.all([this.#broadcaster.stop(), this.#tasks.stop()])
  }

  async #send (address: string, updates: readonly T[], signal: AbortSignal): Promise<void> {
    const { link, messages } = this.#opts
    // The link logs a failure; a later difference of digests causes a pull.
    await link.call(address, messages.announce(updates), { timeoutMs: PEER_CALL_TIMEOUT_MS, repeatable: true, signal }).catch(() => {})
  }

  async #pull (address: string): Promise<void> {
    const { link, messages } = this.#opts
    const opts = { timeoutMs: PEER_CALL_TIMEOUT_MS, repeatable: true, signal: this.#tasks.signal }
    // The link logs a failure; the next heartbeat shows the difference again.
    const answer = await link.call(address, messages.pull(this.known()), opts).catch(() => undefined)
    const content = answer && messages.updatesOf(answer)
    if (content) this.receive(content)
  }
}
