import { type Clock } from '@reelspan/core.env'

export interface SlottedUpstreamOptions {
  clock: Clock
  /** Calls that run at once. */
  slots: number
  /** Calls that wait, first come first served. */
  queueLength: number
  /** Duration of the next call. */
  workMs: () => number
}

/** A service that runs some calls at once, queues some more and is full beyond that. */
export class SlottedUpstream {
  readonly #opts: SlottedUpstreamOptions
  readonly #queue: (() => void)[] = []
  #running = 0
  /** Most calls that were in the upstream at once since the last reset. */
  peak = 0

  constructor (opts: SlottedUpstreamOptions) {
    this.#opts = opts
  }

  get inFlight (): number {
    return this.#running + this.#queue.length
  }

  get isFull (): boolean {
    return this.inFlight >= this.#opts.slots + this.#opts.queueLength
  }

  /** Resolves when the call has ended or its caller has disconnected. */
  async run (signal: AbortSignal): Promise<void> {
    this.peak = Math.max(this.peak, this.inFlight + 1)
    if (this.#running >= this.#opts.slots) await new Promise<void>((resolve) => this.#queue.push(resolve))
    this.#running++
    if (!signal.aborted) await this.#opts.clock.sleep(this.#opts.workMs(), { signal })
    this.#running--
    this.#queue.shift()?.()
  }
}
