import { type Clock } from '@reelspan/core.env'

/** Progress of one exchange with an upstream. */
export class ExchangeProgress {
  readonly #clock: Clock
  #sentAtMs?: number
  #firstWrittenAtMs?: number
  #lastWrittenAtMs?: number

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** When the request was sent, if it was. */
  get sentAtMs (): number | undefined {
    return this.#sentAtMs
  }

  /** Time between the first and the last complete event of the answer, if there was one. */
  get writtenMs (): number | undefined {
    return this.#firstWrittenAtMs === undefined ? undefined : (this.#lastWrittenAtMs as number) - this.#firstWrittenAtMs
  }

  recordSent (): void {
    this.#sentAtMs = this.#clock.nowMs()
  }

  /** Records that a complete event has arrived. */
  recordWritten (): void {
    this.#lastWrittenAtMs = this.#clock.nowMs()
    this.#firstWrittenAtMs ??= this.#lastWrittenAtMs
  }
}
