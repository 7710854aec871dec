const ID_FIELD = /^id:[ ]?(.*)$/

/** Line terminators. A blank line ends each event. */
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
/** Far more than a token's event. Larger ones are passed on as they arrive, since nothing else bounds what would be buffered of them. */
const MAX_EVENT_BYTES = 1_048_576

/** Tracks the progress of a server-sent event stream and splits its bytes at the ends of events. */
export class EventProgress {
  #incomplete: Uint8Array = new Uint8Array()
  #events = 0
  #lastId?: string
  #oversized = false

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
    const all = this.#incomplete.byteLength === 0 ? bytes : Buffer.concat([this.#incomplete, bytes])
    let from = 0
    for (let end = endOfEvent(all, from); end > 0; end = endOfEvent(all, from)) {
      this.#recordEvent(Buffer.from(all.subarray(from, end)).toString())
      from = end
    }
    this.#oversized = all.byteLength - from > MAX_EVENT_BYTES
    if (this.#oversized) {
      this.#incomplete = new Uint8Array()
      return all
    }
    this.#incomplete = all.subarray(from)
    return all.subarray(0, from)
  }

  /** Returns the buffered bytes behind the last complete event and clears the buffer. */
  flush (): Uint8Array {
    const rest = this.#incomplete
    this.#incomplete = new Uint8Array()
    return rest
  }

  #recordEvent (event: string): void {
    this.#events++
    const ids = event.split(/\r?\n/).flatMap((line) => ID_FIELD.exec(line)?.[1] ?? [])
    this.#lastId = ids.at(-1) ?? this.#lastId
  }
}

/** Position behind the next blank line, or 0 if there is none. */
function endOfEvent (bytes: Uint8Array, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1
    if (bytes[next] === LINE_FEED) return next + 1
  }
  return 0
}
