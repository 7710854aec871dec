import { setMaxListeners } from 'node:events'
import { type Clock } from './clock.js'
import { STOPPED } from './stopped.js'

export interface RepeatOptions {
  periodMs: number
}

/** Called with the error of a task, or of one run of a repeated task. */
export type TaskErrorListener = (error: unknown) => void

/** The long-running tasks of one component, stopped together. */
export class TaskGroup {
  readonly #clock: Clock
  readonly #onError: TaskErrorListener
  readonly #stop = new AbortController()
  readonly #tasks = new Set<Promise<void>>()

  constructor (clock: Clock, onError: TaskErrorListener = () => {}) {
    this.#clock = clock
    this.#onError = onError
    // Each task of the group adds a listener, and their number is not bounded.
    setMaxListeners(0, this.#stop.signal)
  }

  get signal (): AbortSignal {
    return this.#stop.signal
  }

  get stopped (): boolean {
    return this.#stop.signal.aborted
  }

  /** Starts a task. A failure ends only that task. */
  run (task: () => Promise<void>): void {
    const running: Promise<void> = task().catch(this.#onError).finally(() => this.#tasks.delete(running))
    this.#tasks.add(running)
  }

  /** Repeats a task with a pause of `periodMs` between its runs, also after a run that failed. */
  repeat (task: () => Promise<void>, opts: RepeatOptions): void {
    this.run(async () => {
      while (!this.stopped) {
        await task().catch(this.#onError)
        await this.#clock.sleep(opts.periodMs, { signal: this.signal })
      }
    })
  }

  async stop (): Promise<void> {
    this.#stop.abort(STOPPED)
    await Promise.all(this.#tasks)
  }
}
