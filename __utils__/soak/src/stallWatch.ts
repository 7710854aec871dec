import { readFileSync } from 'node:fs'
import { type SoakBox } from './soakFleet.js'

/** A time for which something stood still, on `performance.now()`. */
export interface Stall {
  fromMs: number
  toMs: number
}

const TICK_MS = 50
/** A timer that is later than this, or a process that waited for a processor for this long of it, means that the machine had no time to give. */
const STALL_MS = 150
const NS_PER_MS = 1e6

/**
 * Notes when the machine gave this process, or a box, no processor time, though
 * they were ready to run: bounds in time say nothing over such a moment. For
 * boxes the kernel's own account is read, from outside of the process.
 */
export class StallWatch {
  /** Stalls of this process. */
  readonly stalls: Stall[] = []
  readonly #boxes: readonly SoakBox[]
  readonly #timer: NodeJS.Timeout
  readonly #waitedMs = new Map<number, number>()
  #lastMs = performance.now()

  constructor (boxes: readonly SoakBox[]) {
    this.#boxes = boxes
    this.#timer = setInterval(() => this.#tick(), TICK_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  #tick (): void {
    const nowMs = performance.now()
    const stall = { fromMs: this.#lastMs, toMs: nowMs }
    if (nowMs - this.#lastMs > STALL_MS) this.stalls.push(stall)
    this.#lastMs = nowMs
    this.#boxes.forEach((box) => {
      const waitedMs = this.#waitedSince(box)
      if (waitedMs > STALL_MS) box.pauses.push({ fromMs: stall.fromMs - waitedMs, toMs: nowMs })
    })
  }

  /** Time that a box's main thread has waited for a processor since the last look. The kernel adds a wait up when it ends. */
  #waitedSince ({ process: { pid, running } }: SoakBox): number {
    const waitedMs = running ? readWaitedMs(pid) : undefined
    if (waitedMs === undefined) return 0
    const sinceMs = waitedMs - (this.#waitedMs.get(pid) ?? waitedMs)
    this.#waitedMs.set(pid, waitedMs)
    return sinceMs
  }
}

/** Whether one of the stalls lies within a time, in part or whole. */
export function overlaps (stalls: readonly Stall[], fromMs: number, toMs: number): boolean {
  return stalls.some((stall) => stall.fromMs < toMs && stall.toMs > fromMs)
}

/** Nothing for a process that has just ended. */
function readWaitedMs (pid: number): number | undefined {
  try {
    const [, waitedNs] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')
    return Number(waitedNs) / NS_PER_MS
  } catch {
    // It ended between the look and the read; its attempts end with it.
    return undefined
  }
}
