import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { MessageType, type PeerLink, type RunEvent } from '@reelspan/core.messages'
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

/** What breaks off together is told together: all runs of an upstream that ends, at some boxes. */
const TELL_AFTER_MS = 20
/** As for other calls between boxes. */
const CALL_TIMEOUT_MS = 300
/** Some 12 KB. */
const MOST_TOLD_AT_ONCE = 100
/** Between two requests for all that peers know, whichever peer is asked: news under way makes digests differ for a moment. */
const PULL_EVERY_MS = 500

/**
 * Tells boxes of runs that ended. Each new event goes on to the watched members at once, which
 * takes it to 195 boxes in some eight steps. What is lost on the way, or was told while a box was
 * cut off or did not run yet, shows in the digests that heartbeats carry, and is asked for.
 */
export class RunGossip {
  readonly #opts: RunGossipOptions
  readonly #tasks: TaskGroup
  #untold: RunEvent[] = []
  #untoldSinceMs = 0
  #pulledAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: RunGossipOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  /** Tells the watched members soon. */
  tell (events: readonly RunEvent[]): void {
    if (events.length === 0 || this.#tasks.stopped) return
    const isFirst = this.#untold.length === 0
    if (isFirst) this.#untoldSinceMs = this.#opts.clock.nowMs()
    this.#untold.push(...events)
    if (isFirst) this.#tasks.run(() => this.#tellUntold())
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
    await this.#tasks.stop()
  }

  async #tellUntold (): Promise<void> {
    const { clock, link, watchedAddresses } = this.#opts
    await clock.sleep(TELL_AFTER_MS, { signal: this.#tasks.signal })
    const waitedMs = clock.nowMs() - this.#untoldSinceMs
    const due = this.#untold.map((event) => ({ ...event, ageMs: event.ageMs + waitedMs }))
    const events = due.slice(0, MOST_TOLD_AT_ONCE)
    this.#untold = []
    this.tell(due.slice(MOST_TOLD_AT_ONCE))
    // The link tells of a failure; the digests show what was not heard.
    await Promise.all(watchedAddresses().map((address) =>
      link.call(address, { type: MessageType.RunsTell, events }, { timeoutMs: CALL_TIMEOUT_MS, repeatable: true, signal: this.#tasks.signal }).catch(() => {})))
  }

  async #pull (address: string): Promise<void> {
    const opts = { timeoutMs: CALL_TIMEOUT_MS, repeatable: true, signal: this.#tasks.signal }
    // The link tells of a failure; the next heartbeat shows the difference again.
    const answer = await this.#opts.link.call(address, { type: MessageType.RunsPull }, opts).catch(() => undefined)
    if (answer?.type === MessageType.RunsContent) this.take(answer.events)
  }
}
