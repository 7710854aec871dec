/** A time for which something stood still, on `performance.now()`. */
export interface Stall {
  fromMs: number
  toMs: number
}

const TICK_MS = 20
/** A timer that is later than this means that the machine had no processor time to give. */
const STALL_MS = 200

/** Notes when this process itself got no processor time: bounds in time say nothing over such a moment. */
export class StallWatch {
  readonly stalls: Stall[] = []
  readonly #timer: NodeJS.Timeout
  #lastMs = performance.now()

  constructor () {
    this.#timer = setInterval(() => this.#tick(), TICK_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  #tick (): void {
    const nowMs = performance.now()
    if (nowMs - this.#lastMs > STALL_MS) this.stalls.push({ fromMs: this.#lastMs, toMs: nowMs })
    this.#lastMs = nowMs
  }
}

/** Whether one of the stalls lies within a time, in part or whole. */
export function overlaps (stalls: readonly Stall[], fromMs: number, toMs: number): boolean {
  return stalls.some((stall) => stall.fromMs < toMs && stall.toMs > fromMs)
}
