import { setMaxListeners } from 'node:events'
import { type Clock } from './clock.js'
import { STOPPED } from './stopped.js'

export interface RepeatOptions {
  periodMs: number
}

/** Told of a task, or a pass of a repeated one, that threw. */
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
    // Each task of the group listens to it, and there is no usual number of them.
    setMaxListeners(0, this.#stop.signal)
  }

  get signal (): AbortSignal {
    return this.#stop.signal
  }

  get stopped (): boolean {
    return this.#stop.signal.aborted
  }

  /** Starts a task. A failure ends that task alone. */
  run (task: () => Promise<void>): void {
    const running: Promise<void> = task().catch(this.#onError).finally(() => this.#tasks.delete(running))
    this.#tasks.add(running)
  }

  /** Repeats a task with a pause of `periodMs` between its passes, also after one that failed. */
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
