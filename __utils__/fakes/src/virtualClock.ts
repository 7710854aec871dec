import { Clock, type SleepOptions } from '@reelspan/core.env'
import { type Sleeper, SleeperQueue } from './sleeperQueue.js'

/** A clock that stands still until it is advanced. Sleepers wake in order of time, then of going to sleep. */
export class VirtualClock extends Clock {
  readonly #sleepers = new SleeperQueue()
  #nowMs = 1000
  #order = 0

  nowMs (): number {
    return this.#nowMs
  }

  sleep (durationMs: number, { signal }: SleepOptions = {}): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      const sleeper: Sleeper = {
        atMs: this.#nowMs + Math.max(0, durationMs),
        order: this.#order++,
        awake: false,
        wake: () => {
          sleeper.awake = true
          signal?.removeEventListener('abort', sleeper.wake)
          resolve()
        },
      }
      this.#sleepers.put(sleeper)
      signal?.addEventListener('abort', sleeper.wake, { once: true })
    })
  }

  async settle (): Promise<void> {}

  /** Lets time pass. Everything that becomes due runs in order. */
  async advance (durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs
    await drainMicrotasks()
    for (let next = this.#nextUntil(endMs); next; next = this.#nextUntil(endMs)) {
      this.#nowMs = Math.max(this.#nowMs, next.atMs)
      next.wake()
      await drainMicrotasks()
    }
    this.#nowMs = endMs
  }

  /** Lets time pass until `work` is done. Throws when that takes longer than `limitMs`. */
  async run<T> (work: Promise<T>, limitMs = 60_000): Promise<T> {
    const progress = { done: false }
    const settled = work.finally(() => { progress.done = true })
    settled.catch(() => {})
    const endMs = this.#nowMs + limitMs
    await drainMicrotasks()
    while (!progress.done) {
      const next = this.#nextUntil(endMs)
      if (!next) throw new Error(`not done after ${limitMs} ms`)
      await this.advance(next.atMs - this.#nowMs)
    }
    return settled
  }

  #nextUntil (endMs: number): Sleeper | undefined {
    const first = this.#sleepers.first()
    return first && first.atMs <= endMs ? first : undefined
  }
}

function drainMicrotasks (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
