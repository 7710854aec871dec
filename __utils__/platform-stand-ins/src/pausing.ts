/** A time in which an upstream stood still. */
export interface Pause {
  /** As of `performance.now()`. */
  fromMs: number
  /** Infinite while it lasts. */
  untilMs: number
}

/** Holds the work of an upstream back while it is paused, as that of a process that gets no CPU time. */
export class Pausing {
  #ended: Promise<void> = Promise.resolve()
  #end = () => {}
  readonly pauses: Pause[] = []

  get paused (): boolean {
    return this.pauses.at(-1)?.untilMs === Number.POSITIVE_INFINITY
  }

  pause (): void {
    if (this.paused) return
    this.pauses.push({ fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY })
    this.#ended = new Promise((resolve) => { this.#end = resolve })
  }

  resume (): void {
    const pause = this.pauses.at(-1)
    if (!pause || !this.paused) return
    pause.untilMs = performance.now()
    this.#end()
  }

  /** Resolves once it is not paused. */
  async untilResumed (): Promise<void> {
    while (this.paused) await this.#ended
  }
}
