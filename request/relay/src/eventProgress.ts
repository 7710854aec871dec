const ID_FIELD = /^id:[ ]?(.*)$/

/** What stands at the end of each event: a blank line. */
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** How far a stream of events has come. Splits bytes at the ends of events. */
export class EventProgress {
  #incomplete: Uint8Array = new Uint8Array()
  #events = 0
  #lastId?: string

  /** Whole events so far. */
  get events (): number {
    return this.#events
  }

  /** Id of the last whole event that had one. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  /** Takes bytes in and answers those that complete events. What stands behind them is kept for the next time. */
  push (bytes: Uint8Array): Uint8Array {
    const all = this.#incomplete.byteLength === 0 ? bytes : Buffer.concat([this.#incomplete, bytes])
    let from = 0
    for (let end = endOfEvent(all, from); end > 0; end = endOfEvent(all, from)) {
      this.#recordEvent(Buffer.from(all.subarray(from, end)).toString())
      from = end
    }
    this.#incomplete = all.subarray(from)
    return all.subarray(0, from)
  }

  /** Bytes behind the last whole event. They are given out once. */
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

/** Position behind the next blank line, or 0 when there is none. */
function endOfEvent (bytes: Uint8Array, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1
    if (bytes[next] === LINE_FEED) return next + 1
  }
  return 0
}
