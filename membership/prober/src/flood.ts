import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'

/** Something that happened so long ago. */
export interface Aged {
  ageMs: number
}

export interface FloodOptions<T extends Aged> {
  clock: Clock
  /** Addresses of the members that this box watches: news that each box passes on to them reaches all. */
  watchedAddresses: () => readonly string[]
  /** Never rejects. */
  send: (address: string, news: readonly T[], signal: AbortSignal) => Promise<void>
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

/** What happens together is told together. */
const TELL_AFTER_MS = 20
/** Some 12 KB. */
const MOST_TOLD_AT_ONCE = 100

/**
 * Tells the watched members of news. Whoever hears of something new tells it on, which takes it to
 * 195 boxes in some eight steps. Who tells what is new, and that nothing is told on twice, is the user's part.
 */
export class Flood<T extends Aged> {
  readonly #opts: FloodOptions<T>
  readonly #tasks: TaskGroup
  #untold: T[] = []
  #untoldSinceMs = 0

  constructor (opts: FloodOptions<T>) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  tell (news: readonly T[]): void {
    if (news.length === 0 || this.#tasks.stopped) return
    const isFirst = this.#untold.length === 0
    if (isFirst) this.#untoldSinceMs = this.#opts.clock.nowMs()
    this.#untold.push(...news)
    if (isFirst) this.#tasks.run(() => this.#tellUntold())
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #tellUntold (): Promise<void> {
    const { clock, watchedAddresses, send } = this.#opts
    await clock.sleep(TELL_AFTER_MS, { signal: this.#tasks.signal })
    const waitedMs = clock.nowMs() - this.#untoldSinceMs
    const due = this.#untold.map((one) => ({ ...one, ageMs: one.ageMs + waitedMs }))
    const now = due.slice(0, MOST_TOLD_AT_ONCE)
    this.#untold = []
    this.tell(due.slice(MOST_TOLD_AT_ONCE))
    await Promise.all(watchedAddresses().map((address) => send(address, now, this.#tasks.signal)))
  }
}
