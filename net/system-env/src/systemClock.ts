import { Clock, type SleepOptions } from '@reelspan/core.env'

const MAX_TIMER_MS = 2 ** 31 - 1
/**
 * A time of day that goes ahead of the steady clock by more than this between two looks was set forward, or
 * the machine was suspended. Adjustments of the time of day take half a millisecond a second at most.
 */
const LEAP_MS = 150
/** The time of day is looked at no more often than this: the clock is read many times for each request. */
const LOOK_EVERY_MS = 1

export interface SystemClockOptions {
  /** A timer fired this long after it was due. */
  onLate?: (lateMs: number) => void
  /** Whether the machine was suspended, now that its time of day went ahead by so much; true without. */
  wasSuspended?: (durationMs: number) => Promise<boolean>
  /** The process's steady clock, which stands still while the machine is suspended. */
  steadyMs?: () => number
  /** The time of day, which does not. */
  timeOfDayMs?: () => number
}

/** A sleep whose timer is set anew when the time is found to have gone ahead of it. */
interface Sleeper {
  setTimer: () => void
}

/**
 * The process's own monotonic clock and timers. Time for which the machine was suspended counts:
 * rights run out, deadlines pass and beliefs age meanwhile, as in a pause of the process. Node's
 * timers and steady clock leave that time out, and it cannot read the clock that has it. The time
 * of day has it, but may have been set forward; whoever else has a clock can tell the two apart.
 */
export class SystemClock extends Clock {
  readonly #opts: SystemClockOptions
  readonly #steadyMs: () => number
  readonly #timeOfDayMs: () => number
  readonly #sleepers = new Set<Sleeper>()
  #suspendedMs = 0
  #lookedAtMs: number
  /** How far the time of day was ahead of the steady clock then. */
  #aheadMs: number

  constructor (opts: SystemClockOptions = {}) {
    super()
    this.#opts = opts
    this.#steadyMs = opts.steadyMs ?? (() => performance.now())
    this.#timeOfDayMs = opts.timeOfDayMs ?? (() => Date.now())
    this.#lookedAtMs = this.#steadyMs()
    this.#aheadMs = this.#timeOfDayMs() - this.#lookedAtMs
  }

  nowMs (): number {
    const steadyMs = this.#steadyMs()
    if (steadyMs - this.#lookedAtMs >= LOOK_EVERY_MS) this.#look(steadyMs)
    return steadyMs + this.#suspendedMs
  }

  sleep (durationMs: number, opts: SleepOptions = {}): Promise<void> {
    const { signal } = opts
    if (signal?.aborted) return Promise.resolve()
    const dueMs = this.nowMs() + Math.min(MAX_TIMER_MS, Math.max(0, durationMs))
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined
      const done = () => {
        clearTimeout(timer)
        this.#sleepers.delete(sleeper)
        signal?.removeEventListener('abort', done)
        resolve()
      }
      const wake = () => {
        this.#opts.onLate?.(this.nowMs() - dueMs)
        done()
      }
      const sleeper: Sleeper = {
        setTimer: () => {
          clearTimeout(timer)
          timer = setTimeout(wake, Math.max(0, dueMs - this.nowMs()))
        },
      }
      this.#sleepers.add(sleeper)
      sleeper.setTimer()
      signal?.addEventListener('abort', done, { once: true })
    })
  }

  /** Lets the event loop read its sockets: once to reach its poll phase, and once more for what that brought up. */
  async settle (): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve))
    await new Promise((resolve) => setImmediate(resolve))
  }

  #look (steadyMs: number): void {
    const aheadMs = this.#timeOfDayMs() - steadyMs
    const suspendedMs = aheadMs - this.#aheadMs
    this.#lookedAtMs = steadyMs
    this.#aheadMs = aheadMs
    if (suspendedMs > LEAP_MS) void this.#countIfSuspended(suspendedMs)
  }

  async #countIfSuspended (durationMs: number): Promise<void> {
    if (this.#opts.wasSuspended && !await this.#opts.wasSuspended(durationMs)) return
    this.#suspendedMs += durationMs;
    [...this.#sleepers].forEach(({ setTimer }) => setTimer())
  }
}
