const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
/** Begins a comment at the start of a line. */
const COLON = 0x3a
const BYTE_ORDER_MARK: readonly number[] = [0xef, 0xbb, 0xbf]

export interface ScannedEvents {
  /** Positions behind the blank lines that end events. */
  eventEnds: readonly number[]
  /** Position behind the last blank line, whether it ends an event or not; 0 without one. */
  boundary: number
  /** Whether a line outside an event, a comment or a blank one, has ended. */
  heartbeat: boolean
}

/** Finds the ends of events in the bytes of one server-sent event stream, whose lines end with LF, CR LF or CR. */
export class EventScanner {
  #markBytes = 0
  #markPassed = false
  #lineBegun = false
  #hasField = false
  #afterCarriageReturn = false
  #afterBlankLine = false

  /** Whether the bytes so far end inside an event: behind a field, or a part of one, and before the blank line that ends the event. */
  get insideEvent (): boolean {
    return this.#hasField || (!this.#markPassed && this.#markBytes > 0)
  }

  scan (bytes: Uint8Array): ScannedEvents {
    const eventEnds: number[] = []
    let boundary = 0
    let heartbeat = false
    const lineEnds = new LineEnds(bytes)
    // What follows the first byte of a line does not matter until its end.
    for (let at = this.#lineBegun ? lineEnds.next(0) : 0; at < bytes.byteLength; at = this.#lineBegun ? lineEnds.next(at + 1) : at + 1) {
      const byte = bytes[at]
      if (!this.#markPassed && this.#isMark(byte)) continue
      const endsCarriageReturn = byte === LINE_FEED && this.#afterCarriageReturn
      this.#afterCarriageReturn = byte === CARRIAGE_RETURN
      if (endsCarriageReturn) {
        if (this.#afterBlankLine) boundary = at + 1
        continue
      }
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        this.#hasField ||= !this.#lineBegun && byte !== COLON
        this.#lineBegun = true
        this.#afterBlankLine = false
        continue
      }
      this.#afterBlankLine = !this.#lineBegun
      this.#lineBegun = false
      heartbeat ||= !this.#hasField
      if (!this.#afterBlankLine) continue
      boundary = at + 1
      if (this.#hasField) eventEnds.push(boundary)
      this.#hasField = false
    }
    return { eventEnds, boundary, heartbeat }
  }

  /** Whether the byte belongs to a byte order mark, which may only begin a stream. */
  #isMark (byte: number): boolean {
    const belongs = byte === BYTE_ORDER_MARK[this.#markBytes]
    if (belongs) this.#markBytes++
    this.#markPassed = !belongs || this.#markBytes === BYTE_ORDER_MARK.length
    // The bytes of an incomplete mark belong to the first line.
    if (!belongs && this.#markBytes > 0) this.#lineBegun = this.#hasField = true
    return belongs
  }
}

/** Finds the line ends of a chunk from its start to its end. */
class LineEnds {
  readonly #bytes: Uint8Array
  readonly #carriageReturnAt: number

  constructor (bytes: Uint8Array) {
    this.#bytes = bytes
    this.#carriageReturnAt = positionOf(bytes, CARRIAGE_RETURN, 0)
  }

  /** Position of the first line end from `from` on, or the chunk's length without one. */
  next (from: number): number {
    const lineFeedAt = positionOf(this.#bytes, LINE_FEED, from)
    // Most streams have no carriage returns.
    if (this.#carriageReturnAt >= lineFeedAt) return lineFeedAt
    return Math.min(lineFeedAt, positionOf(this.#bytes, CARRIAGE_RETURN, from))
  }
}

function positionOf (bytes: Uint8Array, byte: number, from: number): number {
  const at = bytes.indexOf(byte, from)
  return at < 0 ? bytes.byteLength : at
}
