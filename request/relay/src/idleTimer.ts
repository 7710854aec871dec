import { type Clock, STOPPED } from '@reelspan/core.env'

/** Aborts its signal when nothing was received for a while, or when its parent signal is aborted. */
export class IdleTimer {
  readonly #clock: Clock
  readonly #expired = new AbortController()
  readonly #stopped = new AbortController()
  #lastActivityMs: number
  #pauses = 0

  readonly #parentSignal: AbortSignal
  readonly #mayExpire: () => boolean
  readonly #expire = () => this.#expired.abort(STOPPED)

  /**
   * @param parentSignal aborted when the timed work is no longer needed
   * @param mayExpire whether anything better than waiting could be done; if not, the timer restarts
   */
  constructor (clock: Clock, timeoutMs: number, parentSignal: AbortSignal, mayExpire: () => boolean = () => true) {
    this.#clock = clock
    this.#parentSignal = parentSignal
    this.#mayExpire = mayExpire
    this.#lastActivityMs = clock.nowMs()
    if (parentSignal.aborted) this.#expire()
    else parentSignal.addEventListener('abort', this.#expire, { once: true })
    if (timeoutMs !== Number.POSITIVE_INFINITY) void this.#run(timeoutMs)
  }

  get signal (): AbortSignal {
    return this.#expired.signal
  }

  /** Time since something was last received, or since the timer was created. */
  get silentMs (): number {
    return this.#clock.nowMs() - this.#lastActivityMs
  }

  reset (): void {
    this.#lastActivityMs = this.#clock.nowMs()
  }

  /** Suspends the timer while `work` runs, since nothing is read from the upstream meanwhile. Restarts it afterwards. */
  async pauseDuring<T> (work: Promise<T>): Promise<T> {
    this.#pauses++
    try {
      return await work
    } finally {
      this.#pauses--
      this.reset()
    }
  }

  /** Stops the timer. */
  stop (): void {
    this.#parentSignal.removeEventListener('abort', this.#expire)
    this.#stopped.abort(STOPPED)
  }

  async #run (timeoutMs: number): Promise<void> {
    for (let remainingMs = timeoutMs; remainingMs > 0; remainingMs = this.#remainingMs(timeoutMs)) {
      await this.#clock.sleep(remainingMs, { signal: this.#stopped.signal })
      // After a pause of this process, data that arrived in time may still be unread.
      await this.#clock.awaitPendingInput()
      if (this.#stopped.signal.aborted) return
    }
    this.#expire()
  }

  #remainingMs (timeoutMs: number): number {
    const remainingMs = this.#pauses > 0 ? timeoutMs : this.#lastActivityMs + timeoutMs - this.#clock.nowMs()
    return remainingMs > 0 || this.#mayExpire() ? remainingMs : timeoutMs
  }
}
