import { type Clock } from './clock.js'
import { type TaskGroup } from './taskGroup.js'

const TICK_MS = 100
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

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
    this.#checkedAtMs = clock.nowMs()
  }

  start (tasks: TaskGroup): void {
    tasks.repeat(async () => this.#check(), { periodMs: TICK_MS })
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

  #check (): void {
    const nowMs = this.#clock.nowMs()
    const lengthMs = nowMs - this.#checkedAtMs
    if (lengthMs > 2 * TICK_MS) this.record(lengthMs)
    this.#checkedAtMs = nowMs
  }
}
