import { type Clock } from './clock.js'
import { type TaskGroup } from './taskGroup.js'

const TICK_MS = 100
/** More are not told apart: whoever asks looks at the last one of some length. */
const MAX_PAUSES = 20

interface Pause {
  lengthMs: number
  wokeAtMs: number
}

/** Notices that the process stood still: it was paused, its machine was suspended, or had no time for it. */
export class PauseWatch {
  readonly #clock: Clock
  #pauses: readonly Pause[] = []
  #lookedAtMs: number

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
    this.#lookedAtMs = clock.nowMs()
  }

  start (tasks: TaskGroup): void {
    tasks.repeat(async () => this.#look(), { periodMs: TICK_MS })
  }

  /** The process may have stood still for so long, though its clock does not say so. */
  note (lengthMs: number): void {
    this.#pauses = [...this.#pauses, { lengthMs, wokeAtMs: this.#clock.nowMs() }].slice(-MAX_PAUSES)
  }

  /** When the last pause that was longer than `longerThanMs` ended; long ago if there was none. */
  wokeAtMs (longerThanMs: number): number {
    this.#look()
    return this.#pauses.findLast(({ lengthMs }) => lengthMs > longerThanMs)?.wokeAtMs ?? Number.NEGATIVE_INFINITY
  }

  #look (): void {
    const nowMs = this.#clock.nowMs()
    const lengthMs = nowMs - this.#lookedAtMs
    if (lengthMs > 2 * TICK_MS) this.note(lengthMs)
    this.#lookedAtMs = nowMs
  }
}
