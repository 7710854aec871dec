import { readFileSync } from 'node:fs'
import { type SoakBox } from './soakMembers.js'
import { type TimeInterval } from './timeInterval.js'

const POLL_INTERVAL_MS = 50
/** The machine is overloaded when more than this passes between two polls, or when a process waits longer than this for a processor between them. */
const STALL_THRESHOLD_MS = 150
const NS_PER_MS = 1e6

/**
 * Detects when this process or a box got no processor time although it was ready
 * to run. Time bounds are not checked over such intervals. For boxes it reads the
 * kernel's scheduler statistics, from outside of the process.
 */
export class StallDetector {
  /** Stalls of this process. */
  readonly stalls: TimeInterval[] = []
  readonly #boxes: readonly SoakBox[]
  readonly #timer: NodeJS.Timeout
  readonly #runQueueWaitsMs = new Map<number, number>()
  #lastMs = performance.now()

  constructor (boxes: readonly SoakBox[]) {
    this.#boxes = boxes
    this.#timer = setInterval(() => this.#poll(), POLL_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  #poll (): void {
    const nowMs = performance.now()
    const interval = { fromMs: this.#lastMs, toMs: nowMs }
    if (nowMs - this.#lastMs > STALL_THRESHOLD_MS) this.stalls.push(interval)
    this.#lastMs = nowMs
    this.#boxes.forEach((box) => {
      const waitMs = this.#readNewRunQueueWaitMs(box)
      if (waitMs > STALL_THRESHOLD_MS) box.pauses.push({ fromMs: interval.fromMs - waitMs, toMs: nowMs })
    })
  }

  /** Returns how long a box's main thread has waited for a processor since the last poll. The kernel counts a wait when it ends. */
  #readNewRunQueueWaitMs ({ process: { pid, running } }: SoakBox): number {
    const totalWaitMs = running ? readRunQueueWaitMs(pid) : undefined
    if (totalWaitMs === undefined) return 0
    const newWaitMs = totalWaitMs - (this.#runQueueWaitsMs.get(pid) ?? totalWaitMs)
    this.#runQueueWaitsMs.set(pid, totalWaitMs)
    return newWaitMs
  }
}

/** Whether one of the intervals overlaps a time span, at least in part. */
export function overlaps (intervals: readonly TimeInterval[], fromMs: number, toMs: number): boolean {
  return intervals.some((interval) => interval.fromMs < toMs && interval.toMs > fromMs)
}

/** Returns undefined for a process that has just exited. */
function readRunQueueWaitMs (pid: number): number | undefined {
  try {
    const [, waitNs] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')
    return Number(waitNs) / NS_PER_MS
  } catch {
    // The process exited before the read; its attempts end with it.
    return undefined
  }
}
