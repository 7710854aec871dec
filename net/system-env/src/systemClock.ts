import { Clock, type SleepOptions } from '@reelspan/core.env'

const MAX_TIMER_MS = 2 ** 31 - 1

export interface SystemClockOptions {
  /** A timer fired this long after it was due. */
  onLate?: (lateMs: number) => void
}

/** The process's own monotonic clock and timers. */
export class SystemClock extends Clock {
  readonly #opts: SystemClockOptions

  constructor (opts: SystemClockOptions = {}) {
    super()
    this.#opts = opts
  }

  nowMs (): number {
    return performance.now()
  }

  sleep (durationMs: number, opts: SleepOptions = {}): Promise<void> {
    const { signal } = opts
    if (signal?.aborted) return Promise.resolve()
    const waitMs = Math.min(MAX_TIMER_MS, Math.max(0, durationMs))
    const dueMs = this.nowMs() + waitMs
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', done)
        resolve()
      }
      const timer = setTimeout(() => {
        this.#opts.onLate?.(this.nowMs() - dueMs)
        done()
      }, waitMs)
      signal?.addEventListener('abort', done, { once: true })
    })
  }

  /** Lets the event loop read its sockets: once to reach its poll phase, and once more for what that brought up. */
  async settle (): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve))
    await new Promise((resolve) => setImmediate(resolve))
  }
}
