import { Clock, type SleepOptions } from '@reelspan/core.env'
import { type Timer, TimerQueue } from './timerQueue.js'

/** A clock that only moves when it is advanced. Timers fire in the order of their times, then in the order in which they were set. */
export class VirtualClock extends Clock {
  readonly #timers = new TimerQueue()
  #nowMs = 1000
  #nextSequence = 0

  nowMs (): number {
    return this.#nowMs
  }

  sleep (durationMs: number, { signal }: SleepOptions = {}): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      const timer: Timer = {
        atMs: this.#nowMs + Math.max(0, durationMs),
        order: this.#nextSequence++,
        fired: false,
        fire: () => {
          timer.fired = true
          signal?.removeEventListener('abort', timer.fire)
          resolve()
        },
      }
      this.#timers.add(timer)
      signal?.addEventListener('abort', timer.fire, { once: true })
    })
  }

  async awaitPendingInput (): Promise<void> {}

  /** Advances the time and fires all timers that become due, in order. */
  async advance (durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs
    await drainMicrotasks()
    for (let next = this.#nextTimer(endMs); next; next = this.#nextTimer(endMs)) {
      this.#nowMs = Math.max(this.#nowMs, next.atMs)
      next.fire()
      await drainMicrotasks()
    }
    this.#nowMs = endMs
  }

  /** Advances the time until `work` settles. Throws if that takes longer than `limitMs`. */
  async run<T> (work: Promise<T>, limitMs = 60_000): Promise<T> {
    const progress = { done: false }
    const settled = work.finally(() => { progress.done = true })
    settled.catch(() => {})
    const endMs = this.#nowMs + limitMs
    await drainMicrotasks()
    while (!progress.done) {
      const next = this.#nextTimer(endMs)
      if (!next) throw new Error(`not done after ${limitMs} ms`)
      await this.advance(next.atMs - this.#nowMs)
    }
    return settled
  }

  #nextTimer (endMs: number): Timer | undefined {
    const first = this.#timers.first()
    return first && first.atMs <= endMs ? first : undefined
  }
}

function drainMicrotasks (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
