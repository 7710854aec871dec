import { EventScanner } from './eventScanner.js'

const ID_FIELD = /^id:[ ]?(.*)$/
const LINE_END = /\r\n|\r|\n/
/** Far more than a token's event. Larger ones are passed on as they arrive, since nothing else bounds what would be buffered of them. */
const MAX_EVENT_BYTES = 1_048_576

/** Tracks the progress of a server-sent event stream and splits its bytes at the ends of events. */
export class EventProgress {
  #scanner = new EventScanner()
  #incomplete: Uint8Array = new Uint8Array()
  #events = 0
  #lastId?: string
  #oversized = false

  /** The progress of another answer that begins behind the last complete event of this one. */
  fork (): EventProgress {
    const fork = new EventProgress()
    fork.#events = this.#events
    fork.#lastId = this.#lastId
    fork.#oversized = this.#oversized
    return fork
  }

  /** Number of complete events. */
  get events (): number {
    return this.#events
  }

  /** Id of the last complete event with an id. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  /** Whether an event was too large to be buffered. From then on all bytes are passed on, and the stream can no longer be resumed behind a complete event. */
  get oversized (): boolean {
    return this.#oversized
  }

  /** Bytes that are buffered behind the last complete event. */
  get incompleteBytes (): number {
    return this.#incomplete.byteLength
  }

  /** Adds received bytes and returns those of complete events. Buffers the bytes of an incomplete event. */
  push (bytes: Uint8Array): Uint8Array {
    if (this.#oversized) return bytes
    const { eventEnds, boundary } = this.#scanner.scan(bytes)
    const bufferedBytes = this.#incomplete.byteLength
    const all = bufferedBytes === 0 ? bytes : Buffer.concat([this.#incomplete, bytes])
    eventEnds.forEach((end, i) => {
      const start = i === 0 ? 0 : bufferedBytes + eventEnds[i - 1]
      this.#recordEvent(Buffer.from(all.subarray(start, bufferedBytes + end)).toString())
    })
    const from = boundary === 0 ? 0 : bufferedBytes + boundary
    this.#oversized = all.byteLength - from > MAX_EVENT_BYTES
    if (this.#oversized) {
      this.#incomplete = new Uint8Array()
      return all
    }
    this.#incomplete = all.subarray(from)
    return all.subarray(0, from)
  }

  /** Ends an answer. Returns the bytes that are buffered behind its last complete event, and clears the buffer. */
  flush (): Uint8Array {
    const rest = this.#incomplete
    this.#scanner = new EventScanner()
    this.#incomplete = new Uint8Array()
    return rest
  }

  #recordEvent (event: string): void {
    this.#events++
    const ids = event.split(LINE_END).flatMap((line) => ID_FIELD.exec(line)?.[1] ?? [])
    this.#lastId = ids.at(-1) ?? this.#lastId
  }
}
