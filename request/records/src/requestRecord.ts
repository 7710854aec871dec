import { Notifier } from '@reelspan/core.env'
import { type AnswerEvent, AnswerEventKind, type FinalAnswer } from '@reelspan/core.messages'

const EVENT_OVERHEAD_BYTES = 64

/** One request and the events of its answer so far. All readers receive the same events. */
export class RequestRecord {
  readonly key: string
  /** Digest of the request's content, used to detect a key that was reused for a different request. */
  readonly fingerprint: string
  readonly createdAtMs: number
  readonly #events: AnswerEvent[] = []
  readonly #changed = new Notifier()
  #bytes = 0
  #readers = 0
  #final?: FinalAnswer
  #finishedAtMs?: number

  constructor (key: string, fingerprint: string, createdAtMs: number) {
    this.key = key
    this.fingerprint = fingerprint
    this.createdAtMs = createdAtMs
  }

  get events (): readonly AnswerEvent[] {
    return this.#events
  }

  get bytes (): number {
    return this.#bytes
  }

  get readers (): number {
    return this.#readers
  }

  get final (): FinalAnswer | undefined {
    return this.#final
  }

  get finishedAtMs (): number | undefined {
    return this.#finishedAtMs
  }

  /** Appends an event. Ignores events after the first final one. */
  append (event: AnswerEvent, nowMs: number): boolean {
    if (this.#final) return false
    this.#events.push(event)
    this.#bytes += eventBytes(event)
    if (event.kind === AnswerEventKind.Final) {
      this.#final = event
      this.#finishedAtMs = nowMs
    }
    this.#changed.notify()
    return true
  }

  /** Yields the events from a position up to the final one. */
  async * read (fromEvent: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    this.#readers++
    this.#changed.notify()
    try {
      for (let next = fromEvent; !signal.aborted; next++) {
        while (next >= this.#events.length && !this.#final && !signal.aborted) await this.#changed.wait(signal)
        if (next >= this.#events.length) return
        yield this.#events[next]
      }
    } finally {
      this.#readers--
      this.#changed.notify()
    }
  }

  /** Resolves once the record is final or has no reader, or the signal is aborted. */
  async waitUntilUnread (signal: AbortSignal): Promise<void> {
    while (this.#readers > 0 && !this.#final && !signal.aborted) await this.#changed.wait(signal)
  }

  /** Resolves once the record is final or has a reader, or the signal is aborted. */
  async waitUntilRead (signal: AbortSignal): Promise<void> {
    while (this.#readers === 0 && !this.#final && !signal.aborted) await this.#changed.wait(signal)
  }
}

function eventBytes (event: AnswerEvent): number {
  switch (event.kind) {
    case AnswerEventKind.Token: return EVENT_OVERHEAD_BYTES + 2 * event.text.length
    case AnswerEventKind.Response: return EVENT_OVERHEAD_BYTES + event.body.byteLength
    case AnswerEventKind.Final: return EVENT_OVERHEAD_BYTES
  }
}
