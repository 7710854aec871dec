import { AnswerBound, AnswerBoundExceeded } from '@reelspan/upstream.client'
import { EventScanner } from './eventScanner.js'
import { PendingBytes } from './pendingBytes.js'

const ID_FIELD = /^id:[ ]?(.*)$/
const LINE_END = /\r\n|\r|\n/
/** Far more than a token's event. In an answer that is no stream of events, more is passed on as it arrives. */
const MAX_EVENT_BYTES = 1_048_576
/** Comments and blank lines between two events. A heartbeat of some ten bytes each second fills it in an hour. */
const MAX_BETWEEN_EVENTS_BYTES = 65_536
/** Of these, the bytes whose lines count as heartbeats of an engine that computes. */
const MAX_HEARTBEAT_BYTES = 4096

export interface PushOptions {
  /** Whether the answer is known to be a stream of events, which is bounded. */
  bounded?: boolean
}

/** Tracks the progress of a server-sent event stream and splits its bytes at the ends of events. */
export class EventProgress {
  #scanner = new EventScanner()
  readonly #incomplete = new PendingBytes()
  #events = 0
  #lastId?: string
  #firstId?: string
  #oversized = false
  /** Bytes behind the last complete event. */
  #sinceEventBytes = 0
  /** Of these, bytes behind the last blank line. */
  #sinceBoundaryBytes = 0
  #isSignOfLife = false

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

  /** Id of the first complete event with an id, of this answer alone. */
  get firstId (): string | undefined {
    return this.#firstId
  }

  /** Whether an event was too large to be buffered, or was passed on incomplete. From then on all bytes are passed on, and the stream can no longer be resumed behind a complete event. */
  get oversized (): boolean {
    return this.#oversized
  }

  /** Whether the last bytes completed an event, or a heartbeat at a moderate pace. Others may be an event or a comment without end. */
  get isSignOfLife (): boolean {
    return this.#isSignOfLife
  }

  /** Bytes that are buffered behind the last complete event. */
  get incompleteBytes (): number {
    return this.#incomplete.byteLength
  }

  /** Memory that the buffer takes. */
  get heldBytes (): number {
    return this.#incomplete.capacity
  }

  /** Adds received bytes and returns those of complete events. Buffers the bytes of an incomplete event. Throws `AnswerBoundExceeded`. */
  push (bytes: Uint8Array, { bounded = false }: PushOptions = {}): Uint8Array {
    if (this.#oversized && !bounded) return bytes
    const { eventEnds, boundary, heartbeat } = this.#scanner.scan(bytes)
    this.#sinceEventBytes = bytes.byteLength - (eventEnds.at(-1) ?? -this.#sinceEventBytes)
    this.#sinceBoundaryBytes = bytes.byteLength - (boundary > 0 ? boundary : -this.#sinceBoundaryBytes)
    this.#isSignOfLife = eventEnds.length > 0 || (heartbeat && this.#sinceEventBytes <= MAX_HEARTBEAT_BYTES)
    if (bounded) this.#checkBounds()
    if (this.#oversized) {
      this.#events += eventEnds.length
      return bytes
    }
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

  /** Returns the bytes behind the last complete event, to be passed on although the event is incomplete. */
  releaseIncomplete (): Uint8Array {
    this.#oversized = true
    return this.#incomplete.take()
  }

  /** Ends an answer. Returns the bytes that are buffered behind its last complete event, and clears the buffer. */
  flush (): Uint8Array {
    this.#scanner = new EventScanner()
    this.#sinceEventBytes = this.#sinceBoundaryBytes = 0
    return this.#incomplete.take()
  }

  #checkBounds (): void {
    const eventBytes = this.#scanner.insideEvent ? this.#sinceBoundaryBytes : 0
    if (eventBytes > MAX_EVENT_BYTES) throw new AnswerBoundExceeded(AnswerBound.Event, MAX_EVENT_BYTES)
    if (this.#sinceEventBytes - eventBytes > MAX_BETWEEN_EVENTS_BYTES) throw new AnswerBoundExceeded(AnswerBound.BetweenEvents, MAX_BETWEEN_EVENTS_BYTES)
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
    this.#firstId ??= this.#lastId
  }
}
