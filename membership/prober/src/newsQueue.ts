import { Notifier } from '@reelspan/core.env'

/** News about one member is passed on this many times by each box. */
const NEWS_REPEATS = 2
const MAX_NEWS_PER_MESSAGE = 30

/** Members that there is news of, by incarnation, and how often this box still passes it on. */
export class NewsQueue {
  readonly #repeats: number
  readonly #left = new Map<string, number>()
  readonly #arrived = new Notifier()

  constructor (watchCount: number) {
    this.#repeats = NEWS_REPEATS * watchCount
  }

  put (incarnation: string): void {
    this.#left.set(incarnation, this.#repeats)
    this.#arrived.notify()
  }

  /**
   * What the next message carries. Whoever waits longest comes first.
   *
   * @param told what the receiver has just told itself, which would be sent for nothing
   */
  draw (told: ReadonlySet<string>): string[] {
    const chosen = [...this.#left.keys()].filter((incarnation) => !told.has(incarnation)).slice(0, MAX_NEWS_PER_MESSAGE)
    chosen.forEach((incarnation) => this.#countDown(incarnation))
    return chosen
  }

  /** Resolves once there is news, or the signal is aborted. */
  async wait (signal: AbortSignal): Promise<void> {
    await this.#arrived.wait(signal)
  }

  #countDown (incarnation: string): void {
    const left = (this.#left.get(incarnation) ?? 0) - 1
    this.#left.delete(incarnation)
    if (left > 0) this.#left.set(incarnation, left)
  }
}
