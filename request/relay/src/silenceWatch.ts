import { type Clock, STOPPED } from '@reelspan/core.env'

/** Aborts its signal when nothing was heard for a while, or when what it belongs to ends. */
export class SilenceWatch {
  readonly #clock: Clock
  readonly #silent = new AbortController()
  readonly #over = new AbortController()
  #heardAtMs: number
  #pauses = 0

  readonly #outer: AbortSignal
  readonly #mayGiveUp: () => boolean
  readonly #end = () => this.#silent.abort(STOPPED)

  /**
   * @param outer aborted when the work that is watched is of no use any more
   * @param mayGiveUp whether anything better than waiting could be done
   */
  constructor (clock: Clock, patienceMs: number, outer: AbortSignal, mayGiveUp: () => boolean = () => true) {
    this.#clock = clock
    this.#outer = outer
    this.#mayGiveUp = mayGiveUp
    this.#heardAtMs = clock.nowMs()
    if (outer.aborted) this.#end()
    else outer.addEventListener('abort', this.#end, { once: true })
    if (patienceMs !== Number.POSITIVE_INFINITY) void this.#watch(patienceMs)
  }

  get signal (): AbortSignal {
    return this.#silent.signal
  }

  heard (): void {
    this.#heardAtMs = this.#clock.nowMs()
  }

  /** Does something during which nothing can be heard, since nobody listens: silence counts from its end. */
  async pauseFor<T> (work: Promise<T>): Promise<T> {
    this.#pauses++
    try {
      return await work
    } finally {
      this.#pauses--
      this.heard()
    }
  }

  /** Ends the watch. */
  stop (): void {
    this.#outer.removeEventListener('abort', this.#end)
    this.#over.abort(STOPPED)
  }

  async #watch (patienceMs: number): Promise<void> {
    for (let leftMs = patienceMs; leftMs > 0; leftMs = this.#leftMs(patienceMs)) {
      await this.#clock.sleep(leftMs, { signal: this.#over.signal })
      // After a pause of this process, what came in time may still be waiting to be read.
      await this.#clock.settle()
      if (this.#over.signal.aborted) return
    }
    this.#end()
  }

  #leftMs (patienceMs: number): number {
    const leftMs = this.#pauses > 0 ? patienceMs : this.#heardAtMs + patienceMs - this.#clock.nowMs()
    return leftMs > 0 || this.#mayGiveUp() ? leftMs : patienceMs
  }
}
