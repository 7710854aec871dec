import { type Clock } from '@reelspan/core.env'
import { SOUND_AFTER_MS } from '@reelspan/request.quarantine'
import { type RelayAnswer } from '@reelspan/upstream.client'
import { endsVisibly } from './endsVisibly.js'

export enum AnswerFinish {
  /** Its framing says that it is whole. */
  Whole = 'whole',
  /** It ended with its connection, which an upstream that exits closes as well. */
  WithConnection = 'withConnection',
}

export interface ExchangeProgressOptions {
  clock: Clock
  /** Called while the answer is written, each time that a further level is reached and then at regular intervals. */
  onSound?: (writtenMs: number) => void
}

/** Few, since each is remembered for each prompt part. */
const SOUND_LEVELS_MS = [100, 250, 500, SOUND_AFTER_MS]
const SOUND_INTERVAL_MS = 1000

/** Progress of one exchange with an upstream. */
export class ExchangeProgress {
  readonly #opts: ExchangeProgressOptions
  #sentAtMs?: number
  #signal?: AbortSignal
  #finish?: AnswerFinish
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

  /** Whether this box has ended the exchange itself, for example because the caller disconnected. */
  get abandoned (): boolean {
    return this.#signal?.aborted ?? false
  }

  /** How the answer ended, if it was a success that was passed on to its end. */
  get finish (): AnswerFinish | undefined {
    return this.#finish
  }

  /** @param signal aborted when this box ends the exchange */
  recordSent (signal: AbortSignal): void {
    this.#sentAtMs = this.#opts.clock.nowMs()
    this.#signal = signal
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

  /** Records that a successful answer was passed on to its end. */
  recordFinished (answer: Pick<RelayAnswer, 'framing'>): void {
    this.#finish = endsVisibly(answer) ? AnswerFinish.Whole : AnswerFinish.WithConnection
  }
}
