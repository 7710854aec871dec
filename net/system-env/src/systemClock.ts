import { Clock, type SleepOptions } from '@reelspan/core.env'

const MAX_TIMER_MS = 2 ** 31 - 1
/**
 * If the wall clock advances by this much more than the monotonic clock between two checks, it was set forward,
 * or the machine was suspended. Gradual adjustments of the wall clock are at most half a millisecond per second.
 */
const CLOCK_JUMP_MS = 150
/** The wall clock is checked no more often than this, since the clock is read many times for each request. */
const CHECK_INTERVAL_MS = 1

export interface SystemClockOptions {
  /** Called with how late a timer fired. */
  onLateTimer?: (lateMs: number) => void
  /** Returns whether the machine was suspended, after its wall clock jumped ahead by `durationMs`. Every jump counts as a suspension without it. */
  confirmSuspension?: (durationMs: number) => Promise<boolean>
  /** The process's monotonic clock, which stops while the machine is suspended. */
  monotonicMs?: () => number
  /** The wall clock, which goes on while the machine is suspended. */
  wallClockMs?: () => number
}

/** A sleep in progress. Its timer is reset after a suspension. */
interface PendingSleep {
  resetTimer: () => void
}

/**
 * The process's monotonic clock and timers, which include the time for which the machine was
 * suspended: leases expire, deadlines pass and cached state ages meanwhile, as in a pause of the
 * process. Node's timers and monotonic clock leave that time out, and Node cannot read the system
 * clock that includes it. The wall clock includes it, but may also have been set forward. Other
 * machines' clocks can tell the two cases apart, hence the callback that confirms a suspension.
 */
export class SystemClock extends Clock {
  readonly #opts: SystemClockOptions
  readonly #monotonicMs: () => number
  readonly #wallClockMs: () => number
  readonly #pendingSleeps = new Set<PendingSleep>()
  #suspendedMs = 0
  #checkedAtMs: number
  /** The wall clock's offset from the monotonic clock at the last check. */
  #offsetMs: number

  constructor (opts: SystemClockOptions = {}) {
    super()
    this.#opts = opts
    this.#monotonicMs = opts.monotonicMs ?? (() => performance.now())
    this.#wallClockMs = opts.wallClockMs ?? (() => Date.now())
    this.#checkedAtMs = this.#monotonicMs()
    this.#offsetMs = this.#wallClockMs() - this.#checkedAtMs
  }

  nowMs (): number {
    const monotonicMs = this.#monotonicMs()
    if (monotonicMs - this.#checkedAtMs >= CHECK_INTERVAL_MS) this.#detectClockJump(monotonicMs)
    return monotonicMs + this.#suspendedMs
  }

  sleep (durationMs: number, opts: SleepOptions = {}): Promise<void> {
    const { signal } = opts
    if (signal?.aborted) return Promise.resolve()
    const dueMs = this.nowMs() + Math.min(MAX_TIMER_MS, Math.max(0, durationMs))
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined
      const done = () => {
        clearTimeout(timer)
        this.#pendingSleeps.delete(pendingSleep)
        signal?.removeEventListener('abort', done)
        resolve()
      }
      const onTimer = () => {
        this.#opts.onLateTimer?.(this.nowMs() - dueMs)
        done()
      }
      const pendingSleep: PendingSleep = {
        resetTimer: () => {
          clearTimeout(timer)
          timer = setTimeout(onTimer, Math.max(0, dueMs - this.nowMs()))
        },
      }
      this.#pendingSleeps.add(pendingSleep)
      pendingSleep.resetTimer()
      signal?.addEventListener('abort', done, { once: true })
    })
  }

  /** Lets the event loop read its sockets: one turn to reach the poll phase, and one more for callbacks scheduled there. */
  async awaitPendingInput (): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve))
    await new Promise((resolve) => setImmediate(resolve))
  }

  #detectClockJump (monotonicMs: number): void {
    const offsetMs = this.#wallClockMs() - monotonicMs
    const jumpMs = offsetMs - this.#offsetMs
    this.#checkedAtMs = monotonicMs
    this.#offsetMs = offsetMs
    if (jumpMs > CLOCK_JUMP_MS) void this.#addSuspension(jumpMs)
  }

  async #addSuspension (durationMs: number): Promise<void> {
    if (this.#opts.confirmSuspension && !await this.#opts.confirmSuspension(durationMs)) return
    this.#suspendedMs += durationMs;
    [...this.#pendingSleeps].forEach(({ resetTimer }) => resetTimer())
  }
}
