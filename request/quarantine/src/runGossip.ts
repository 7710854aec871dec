import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { MessageType, type PeerLink, type RunEvent } from '@reelspan/core.messages'
import { Flood } from '@reelspan/membership.prober'
import { type RunHistory } from './runHistory.js'

export interface RunGossipOptions {
  clock: Clock
  link: PeerLink
  history: RunHistory
  /** Addresses of the members that this box watches: news that each box passes on to them reaches all. */
  watchedAddresses: () => readonly string[]
  /** Events that were new here. */
  onAdded: (events: readonly RunEvent[]) => void
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

/** As for other calls between boxes. */
const CALL_TIMEOUT_MS = 300
/** Between two requests for all that peers know, whichever peer is asked: news under way makes digests differ for a moment. */
const PULL_EVERY_MS = 500

/**
 * Tells boxes of runs that ended. What is lost on the way, or was told while a box was
 * cut off or did not run yet, shows in the digests that heartbeats carry, and is asked for.
 */
export class RunGossip {
  readonly #opts: RunGossipOptions
  readonly #tasks: TaskGroup
  readonly #flood: Flood<RunEvent>
  #pulledAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: RunGossipOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#flood = new Flood({ ...opts, send: (address, events, signal) => this.#send(address, events, signal) })
  }

  /** Tells the watched members soon. */
  tell (events: readonly RunEvent[]): void {
    this.#flood.tell(events)
  }

  /** Takes in what another box tells, and passes on what is new. */
  take (events: readonly RunEvent[]): void {
    const added = events.filter((event) => this.#opts.history.add(event))
    if (added.length === 0) return
    this.#opts.onAdded(added)
    this.tell(added)
  }

  /** What this box knows, for a peer that asks. */
  known (): RunEvent[] {
    return this.#opts.history.events()
  }

  /** A peer named the digest of what it knows; none when it knows of nothing. */
  hear (address: string, digest: number | undefined): void {
    const { clock, history } = this.#opts
    history.expire()
    const nowMs = clock.nowMs()
    // Where room is short boxes forget different runs, and would ask each other for them for ever.
    if (digest === undefined || digest === history.digest || history.full || nowMs - this.#pulledAtMs < PULL_EVERY_MS) return
    this.#pulledAtMs = nowMs
    this.#tasks.run(() => this.#pull(address))
  }

  async stop (): Promise<void> {
    await Promise.all([this.#flood.stop(), this.#tasks.stop()])
  }

  async #send (address: string, events: readonly RunEvent[], signal: AbortSignal): Promise<void> {
    // The link tells of a failure; the digests show what was not heard.
    await this.#opts.link.call(address, { type: MessageType.RunsTell, events: [...events] }, { timeoutMs: CALL_TIMEOUT_MS, repeatable: true, signal }).catch(() => {})
  }

  async #pull (address: string): Promise<void> {
    const opts = { timeoutMs: CALL_TIMEOUT_MS, repeatable: true, signal: this.#tasks.signal }
    // The link tells of a failure; the next heartbeat shows the difference again.
    const answer = await this.#opts.link.call(address, { type: MessageType.RunsPull }, opts).catch(() => undefined)
    if (answer?.type === MessageType.RunsContent) this.take(answer.events)
  }
}
