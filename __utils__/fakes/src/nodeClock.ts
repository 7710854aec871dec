import { Clock, Notifier, type SleepOptions } from '@reelspan/core.env'

/** The clock of one process on a shared clock. While the process is paused, time passes and nothing of it runs. */
export class NodeClock extends Clock {
  readonly #shared: Clock
  readonly #resumed = new Notifier()
  #paused = false
  /** Time that its machine was suspended for, which its clock left out. */
  #missedMs = 0

  constructor (shared: Clock) {
    super()
    this.#shared = shared
  }

  get paused (): boolean {
    return this.#paused
  }

  nowMs (): number {
    return this.#shared.nowMs() - this.#missedMs
  }

  async sleep (durationMs: number, opts: SleepOptions = {}): Promise<void> {
    await this.#shared.sleep(durationMs, opts)
    await this.whileRunning()
  }

  async settle (): Promise<void> {
    await this.whileRunning()
  }

  pause (): void {
    this.#paused = true
  }

  /** The machine is suspended for a while. The clock does not count it. */
  async suspendFor (durationMs: number): Promise<void> {
    this.pause()
    await this.#shared.sleep(durationMs)
    this.#missedMs += durationMs
    this.resume()
  }

  resume (): void {
    this.#paused = false
    this.#resumed.notify()
  }

  /** Resolves at once, or when the process runs again. */
  async whileRunning (): Promise<void> {
    while (this.#paused) await this.#resumed.wait()
  }
}
