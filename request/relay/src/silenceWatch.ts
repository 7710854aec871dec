import { type Clock, STOPPED } from '@reelspan/core.env'

export interface SilenceWatchOptions {
  clock: Clock
  /** How long nothing may be received before `onSilent` is called, and how often it is called from then on. */
  timeoutMs: number
  onSilent: (silentMs: number) => void
  /** Called with the first data after `onSilent`. */
  onHeard: (silentMs: number) => void
}

/** Watches one exchange for the time in which its upstream sends nothing. */
export class SilenceWatch {
  readonly #opts: SilenceWatchOptions
  readonly #stopped = new AbortController()
  #lastReceivedAtMs: number
  #pauses = 0
  #silent = false

  constructor (opts: SilenceWatchOptions) {
    this.#opts = opts
    this.#lastReceivedAtMs = opts.clock.nowMs()
    void this.#run()
  }

  /** Whether nothing was received for the timeout. */
  get silent (): boolean {
    return this.#silent
  }

  /** Time since something was last received, or since the watch began. */
  get silentMs (): number {
    return this.#opts.clock.nowMs() - this.#lastReceivedAtMs
  }

  recordReceived (): void {
    const { silentMs } = this
    this.#lastReceivedAtMs = this.#opts.clock.nowMs()
    if (!this.#silent) return
    this.#silent = false
    this.#opts.onHeard(silentMs)
  }

  /** Suspends the watch while `work` runs, since nothing is read from the upstream meanwhile. */
  async pauseDuring<T> (work: Promise<T>): Promise<T> {
    const { clock } = this.#opts
    const pausedAtMs = clock.nowMs()
    this.#pauses++
    try {
      return await work
    } finally {
      this.#pauses--
      this.#lastReceivedAtMs += clock.nowMs() - pausedAtMs
    }
  }

  stop (): void {
    this.#stopped.abort(STOPPED)
  }

  async #run (): Promise<void> {
    const { clock, timeoutMs, onSilent } = this.#opts
    let dueAtMs = this.#lastReceivedAtMs + timeoutMs
    for (;;) {
      await clock.sleep(dueAtMs - clock.nowMs(), { signal: this.#stopped.signal })
      // After a pause of this process, data that arrived in time may still be unread.
      await clock.awaitPendingInput()
      if (this.#stopped.signal.aborted) return
      const nowMs = clock.nowMs()
      const isDue = this.#pauses === 0 && nowMs >= this.#lastReceivedAtMs + timeoutMs
      dueAtMs = isDue || this.#pauses > 0 ? nowMs + timeoutMs : this.#lastReceivedAtMs + timeoutMs
      if (!isDue) continue
      this.#silent = true
      onSilent(this.silentMs)
    }
  }
}
