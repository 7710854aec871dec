import { EventScanner } from './eventScanner.js'
import { PendingBytes } from './pendingBytes.js'

const ID_FIELD = /^id:[ ]?(.*)$/
const LINE_END = /\r\n|\r|\n/
/** Far more than a token's event. Larger ones are passed on as they arrive, since nothing else bounds what would be buffered of them. */
const MAX_EVENT_BYTES = 1_048_576

/** Tracks the progress of a server-sent event stream and splits its bytes at the ends of events. */
export class EventProgress {
  #scanner = new EventScanner()
  readonly #incomplete = new PendingBytes()
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
    const complete = this.#takeComplete(bytes, boundary)
    eventEnds.forEach((end, i) => {
      const offset = complete.byteLength - boundary
      const start = i === 0 ? 0 : offset + eventEnds[i - 1]
      this.#recordEvent(Buffer.from(complete.subarray(start, offset + end)).toString())
    })
    this.#incomplete.append(bytes.subarray(boundary))
    this.#oversized = this.#incomplete.byteLength > MAX_EVENT_BYTES
    return this.#oversized ? Buffer.concat([complete, this.#incomplete.take()]) : complete
  }

  /** Ends an answer. Returns the bytes that are buffered behind its last complete event, and clears the buffer. */
  flush (): Uint8Array {
    this.#scanner = new EventScanner()
    return this.#incomplete.take()
  }

  /** Returns what is buffered and the bytes up to the boundary, or nothing if there is none. */
  #takeComplete (bytes: Uint8Array, boundary: number): Uint8Array {
    const completing = bytes.subarray(0, boundary)
    if (boundary === 0 || this.#incomplete.byteLength === 0) return completing
    this.#incomplete.append(completing)
    return this.#incomplete.take()
  }

  #recordEvent (event: string): void {
    this.#events++
    const ids = event.split(LINE_END).flatMap((line) => ID_FIELD.exec(line)?.[1] ?? [])
    this.#lastId = ids.at(-1) ?? this.#lastId
  }
}
