import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'

/** An update that carries the time since the event that it reports. */
export interface Aged {
  ageMs: number
}

export interface BroadcasterOptions<T extends Aged> {
  clock: Clock
  /** Addresses of the members that this box watches. Updates that every box forwards to its watched members reach all boxes. */
  watchedAddresses: () => readonly string[]
  /** Sends one message to one address. Must not reject. */
  send: (address: string, updates: readonly T[], signal: AbortSignal) => Promise<void>
  /** Called when a task fails with an unexpected error. */
  onTaskError?: TaskErrorListener
}

/** Updates within this time are sent in one message. */
const BATCH_DELAY_MS = 20
/** About 12 KB. */
const MAX_UPDATES_PER_MESSAGE = 100

/**
 * Broadcasts updates to the watched members. Every receiver forwards updates that are new to it, so that an
 * update reaches 195 boxes in about eight hops. The user of this class must detect new updates and must not
 * forward one twice.
 */
export class Broadcaster<T extends Aged> {
  readonly #opts: BroadcasterOptions<T>
  readonly #tasks: TaskGroup
  #pending: T[] = []
  #pendingSinceMs = 0

  constructor (opts: BroadcasterOptions<T>) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  broadcast (updates: readonly T[]): void {
    if (updates.length === 0 || this.#tasks.stopped) return
    const isFirst = this.#pending.length === 0
    if (isFirst) this.#pendingSinceMs = this.#opts.clock.nowMs()
    this.#pending.push(...updates)
    if (isFirst) this.#tasks.run(() => this.#sendPending())
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #sendPending (): Promise<void> {
    const { clock, watchedAddresses, send } = this.#opts
    await clock.sleep(BATCH_DELAY_MS, { signal: this.#tasks.signal })
    const waitedMs = clock.nowMs() - this.#pendingSinceMs
    const due = this.#pending.map((update) => ({ ...update, ageMs: update.ageMs + waitedMs }))
    const batch = due.slice(0, MAX_UPDATES_PER_MESSAGE)
    this.#pending = []
    this.broadcast(due.slice(MAX_UPDATES_PER_MESSAGE))
    await Promise.all(watchedAddresses().map((address) => send(address, batch, this.#tasks.signal)))
  }
}
