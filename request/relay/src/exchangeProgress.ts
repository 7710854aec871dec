import { type Clock } from '@reelspan/core.env'
import { SOUND_AFTER_MS } from '@reelspan/request.quarantine'

export interface ExchangeProgressOptions {
  clock: Clock
  /** Called when the answer is complete, and again and again while it is written, once the upstream has stood it for long enough. */
  onSound?: () => void
}

const SOUND_INTERVAL_MS = 1000

/** Progress of one exchange with an upstream. */
export class ExchangeProgress {
  readonly #opts: ExchangeProgressOptions
  #sentAtMs?: number
  #firstWrittenAtMs?: number
  #lastWrittenAtMs?: number
  #lastSoundAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: ExchangeProgressOptions) {
    this.#opts = opts
  }

  /** When the request was sent, if it was. */
  get sentAtMs (): number | undefined {
    return this.#sentAtMs
  }

  /** Time between the first and the last complete event of the answer, if there was one. */
  get writtenMs (): number | undefined {
    return this.#firstWrittenAtMs === undefined ? undefined : (this.#lastWrittenAtMs as number) - this.#firstWrittenAtMs
  }

  recordSent (): void {
    this.#sentAtMs = this.#opts.clock.nowMs()
  }

  /** Records that a complete event has arrived. */
  recordWritten (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#lastWrittenAtMs = nowMs
    this.#firstWrittenAtMs ??= nowMs
    if (nowMs - this.#firstWrittenAtMs < SOUND_AFTER_MS || nowMs - this.#lastSoundAtMs < SOUND_INTERVAL_MS) return
    this.#lastSoundAtMs = nowMs
    this.#opts.onSound?.()
  }

  /** Records that the answer is complete. */
  recordFinished (): void {
    this.#opts.onSound?.()
  }
}
