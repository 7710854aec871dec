import { Clock, Notifier, type SleepOptions } from '@reelspan/core.env'

/** Clock of one process, derived from a shared clock. While the process is paused, time passes but its timers do not fire. */
export class NodeClock extends Clock {
  readonly #sharedClock: Clock
  readonly #resumed = new Notifier()
  #paused = false
  /** Total time for which the machine was suspended; this clock does not count it. */
  #suspendedMs = 0

  constructor (shared: Clock) {
    super()
    this.#sharedClock = shared
  }

  get paused (): boolean {
    return this.#paused
  }

  nowMs (): number {
    return this.#sharedClock.nowMs() - this.#suspendedMs
  }

  async sleep (durationMs: number, opts: SleepOptions = {}): Promise<void> {
    await this.#sharedClock.sleep(durationMs, opts)
    await this.waitUntilRunning()
  }

  async awaitPendingInput (): Promise<void> {
    await this.waitUntilRunning()
  }

  pause (): void {
    this.#paused = true
  }

  /** Simulates a suspended machine: the process is paused, and its clock does not count the time. */
  async suspendFor (durationMs: number): Promise<void> {
    this.pause()
    await this.#sharedClock.sleep(durationMs)
    this.#suspendedMs += durationMs
    this.resume()
  }

  resume (): void {
    this.#paused = false
    this.#resumed.notify()
  }

  /** Resolves at once if the process is running, otherwise when it is resumed. */
  async waitUntilRunning (): Promise<void> {
    while (this.#paused) await this.#resumed.wait()
  }
}
