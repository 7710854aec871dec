import { type Clock } from '@reelspan/core.env'
import { SOUND_AFTER_MS } from '@reelspan/request.quarantine'

export interface ExchangeProgressOptions {
  clock: Clock
  /** Called while the answer is written, each time that a further level is reached and then at regular intervals, and when it is complete, which counts as infinite. */
  onSound?: (writtenMs: number) => void
}

/** Few, since each is remembered for each prompt part. */
const SOUND_LEVELS_MS = [100, 250, 500, SOUND_AFTER_MS]
const SOUND_INTERVAL_MS = 1000

/** Progress of one exchange with an upstream. */
export class ExchangeProgress {
  readonly #opts: ExchangeProgressOptions
  #sentAtMs?: number
  #firstWrittenAtMs?: number
  #lastWrittenAtMs?: number
  #lastLevelMs?: number
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
    const writtenMs = nowMs - this.#firstWrittenAtMs
    const level = SOUND_LEVELS_MS.findLast((levelMs) => levelMs <= writtenMs)
    if (level === undefined || (level === this.#lastLevelMs && nowMs - this.#lastSoundAtMs < SOUND_INTERVAL_MS)) return
    this.#lastLevelMs = level
    this.#lastSoundAtMs = nowMs
    this.#opts.onSound?.(level)
  }

  /** Records that the answer is complete. */
  recordFinished (): void {
    this.#opts.onSound?.(Number.POSITIVE_INFINITY)
  }
}
