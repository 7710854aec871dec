import { type Metrics } from '@reelspan/telemetry.metrics'
import { AnswerFraming, type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import { EventScanner } from './eventScanner.js'
import { isEventStream } from './isEventStream.js'

export interface AnswerEndOptions {
  /** Who sent the answer. */
  sender: string
  metrics: Metrics
}

/**
 * Decides whether an answer whose framing ended without an error is whole. A stream of events is not if it ends inside an
 * event: a process that exits closes its connections as one does that has sent everything.
 */
export class AnswerEnd {
  readonly #answer: Pick<RelayAnswer, 'framing'>
  readonly #opts: AnswerEndOptions
  readonly #scanner?: EventScanner

  constructor (answer: Pick<RelayAnswer, 'status' | 'headers' | 'framing'>, opts: AnswerEndOptions) {
    this.#answer = answer
    this.#opts = opts
    this.#scanner = isEventStream(answer) ? new EventScanner() : undefined
  }

  /** Adds received bytes of the body. */
  push (bytes: Uint8Array): void {
    this.#scanner?.scan(bytes)
  }

  /** Called when the framing of the answer has ended. Throws `UpstreamError` if the answer is not whole. */
  check (): void {
    if (!this.#scanner?.insideEvent) return
    const { framing } = this.#answer
    this.#opts.metrics.count('reelspan_streams_ended_inside_event_total', { framing: framing ?? '' })
    throw new UpstreamError(`${this.#opts.sender} ended its stream inside an event`, { mayHaveRun: true, unreachable: framing === AnswerFraming.Connection })
  }
}

/** Returns the answer with a body that throws `UpstreamError` at its end if the answer is not whole. */
export function withCheckedEnd (answer: RelayAnswer, opts: AnswerEndOptions): RelayAnswer {
  return { ...answer, body: checkedBody(answer, opts) }
}

async function * checkedBody (answer: RelayAnswer, opts: AnswerEndOptions): AsyncGenerator<Uint8Array> {
  const end = new AnswerEnd(answer, opts)
  for await (const bytes of answer.body) {
    end.push(bytes)
    yield bytes
  }
  end.check()
}
