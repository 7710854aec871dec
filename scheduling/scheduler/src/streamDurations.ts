import { countUpTo } from './countUpTo.js'

/** Answers that are remembered: a shard of a few engines ends as many in some ten seconds. */
const REMEMBERED = 100
/** Fewer say little: the first to end are the short ones. */
const ENOUGH = 30
/** A stream that has lasted longer than any that is remembered ends within about this time. */
const OVERDUE_MS = 1000

/** How long streams last, to tell when those that run will end. */
export class StreamDurations {
  #latestMs: number[] = []
  #sortedMs: number[] = []

  learn (durationMs: number): void {
    this.#latestMs = [...this.#latestMs, durationMs].slice(-REMEMBERED)
    this.#sortedMs = [...this.#latestMs].sort((a, b) => a - b)
  }

  /** Enough have ended to tell something of others. */
  get known (): boolean {
    return this.#sortedMs.length >= ENOUGH
  }

  /** Part of the streams of an age that will have ended after some time: of those that are remembered, and got as old. */
  endedShare (ageMs: number, afterMs: number): number {
    const before = countUpTo(this.#sortedMs, ageMs)
    const older = this.#sortedMs.length - before
    if (older === 0) return Math.min(1, afterMs / OVERDUE_MS)
    return (countUpTo(this.#sortedMs, ageMs + afterMs) - before) / older
  }
}
