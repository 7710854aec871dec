import { Notifier } from '@reelspan/core.env'

/** Each box sends an update about a member this many times per watched member. */
const SENDS_PER_WATCHED_MEMBER = 2
const MAX_UPDATES_PER_MESSAGE = 30

/** Members whose state changed, by incarnation, each with the number of times it is still to be sent. */
export class UpdateQueue {
  readonly #sendsPerUpdate: number
  readonly #sendsLeft = new Map<string, number>()
  readonly #arrived = new Notifier()

  constructor (watchCount: number) {
    this.#sendsPerUpdate = SENDS_PER_WATCHED_MEMBER * watchCount
  }

  put (incarnation: string): void {
    this.#sendsLeft.set(incarnation, this.#sendsPerUpdate)
    this.#arrived.notify()
  }

  /**
   * Returns the members to include in the next message, those queued longest first.
   *
   * @param known members whose current state the receiver has just sent itself
   */
  nextBatch (known: ReadonlySet<string>): string[] {
    const chosen = [...this.#sendsLeft.keys()].filter((incarnation) => !known.has(incarnation)).slice(0, MAX_UPDATES_PER_MESSAGE)
    chosen.forEach((incarnation) => this.#countDown(incarnation))
    return chosen
  }

  /** Resolves when an update is queued or the signal is aborted. */
  async wait (signal: AbortSignal): Promise<void> {
    await this.#arrived.wait(signal)
  }

  #countDown (incarnation: string): void {
    const sendsLeft = (this.#sendsLeft.get(incarnation) ?? 0) - 1
    this.#sendsLeft.delete(incarnation)
    if (sendsLeft > 0) this.#sendsLeft.set(incarnation, sendsLeft)
  }
}
