import { type Clock, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'

export interface CycleTimerOptions {
  clock: Clock
  runCycle: () => void
  onTaskError?: TaskErrorListener
}

const MIN_DELAY_MS = 1

/** Runs a scheduler's next cycle at a given time. Only the last schedule counts. */
export class CycleTimer {
  readonly #opts: CycleTimerOptions
  readonly #tasks: TaskGroup
  #next?: AbortController

  constructor (opts: CycleTimerOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  schedule (atMs: number, nowMs: number): void {
    this.cancel()
    if (this.#tasks.stopped) return
    const next = new AbortController()
    this.#next = next
    this.#tasks.run(async () => {
      await this.#opts.clock.sleep(Math.max(MIN_DELAY_MS, atMs - nowMs), { signal: next.signal })
      if (!next.signal.aborted && !this.#tasks.stopped) this.#opts.runCycle()
    })
  }

  cancel (): void {
    this.#next?.abort(STOPPED)
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }
}
