import { type Clock } from './clock.js'
import { type TaskGroup } from './taskGroup.js'

const TICK_MS = 100
/** How much later than due two ticks usually are, on a process that is not busy. */
const TICK_SLACK_MS = 25
/** Number of recent pauses that are retained; users need only the last one above some length. */
const MAX_PAUSES = 20

interface Pause {
  lengthMs: number
  resumedAtMs: number
}

/** Detects that the process did not run: it was paused, its machine was suspended, or it was not scheduled. */
export class PauseDetector {
  readonly #clock: Clock
  #pauses: readonly Pause[] = []
  #checkedAtMs: number
  /** Times of the last two turns of the event loop that fired the detector's timer. */
  #tickedAtMs: number
  #previousTickMs: number

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
    this.#checkedAtMs = clock.nowMs()
    this.#tickedAtMs = this.#checkedAtMs
    this.#previousTickMs = this.#checkedAtMs
  }

  start (tasks: TaskGroup): void {
    tasks.repeat(async () => this.#tick(), { periodMs: TICK_MS })
  }

  /**
   * Earliest possible arrival of an event, such as a signal, that this process handles now. Between two ticks the event
   * loop polls for events, and another thread that has taken a signal for the process gets time to pass it on, so
   * whatever had arrived by the tick before the last one has been handled. Delays of up to two ticks are not told apart
   * from none. For an event that arrives within two ticks after a pause, this is before the pause.
   */
  earliestArrivalMs (): number {
    const nowMs = this.#clock.nowMs()
    return nowMs - this.#previousTickMs > 2 * TICK_MS + TICK_SLACK_MS ? this.#previousTickMs : nowMs
  }

  /** Records a pause of this length that the process's own clock may not show. */
  record (lengthMs: number): void {
    this.#pauses = [...this.#pauses, { lengthMs, resumedAtMs: this.#clock.nowMs() }].slice(-MAX_PAUSES)
  }

  /** When the last pause longer than `longerThanMs` ended; negative infinity if there was none. */
  resumedAtMs (longerThanMs: number): number {
    this.#check()
    return this.#pauses.findLast(({ lengthMs }) => lengthMs > longerThanMs)?.resumedAtMs ?? Number.NEGATIVE_INFINITY
  }

  #tick (): void {
    this.#check()
    this.#previousTickMs = this.#tickedAtMs
    this.#tickedAtMs = this.#checkedAtMs
  }

  #check (): void {
    const nowMs = this.#clock.nowMs()
    const lengthMs = nowMs - this.#checkedAtMs
    if (lengthMs > 2 * TICK_MS) this.record(lengthMs)
    this.#checkedAtMs = nowMs
  }
}
