import { AnswerFraming } from '@reelspan/upstream.client'
import { HTTPParser } from 'http-parser-js'
import { headerValue } from './rawHeaders.js'
import { LinePart, WireBounds } from './wireBounds.js'

export interface ParsedHead {
  status: number
  /** Alternating names and values, as received. */
  headers: readonly string[]
  framing: AnswerFraming
  /** Whether the connection stays open after the answer. */
  reusable: boolean
}

/** Events of the answers on one connection. */
export interface ParserEvents {
  /** Returns true if no body follows, even if the head gives a length. */
  onHead: (head: ParsedHead) => boolean
  onBody: (bytes: Uint8Array) => void
  onComplete: () => void
}

// By default the library decodes heads as ASCII and drops each byte's high bit, which turns bytes above 127 into others, even line ends.
HTTPParser.encoding = 'latin1'

const CHUNK_SIZE = /^[\da-f]{1,8}[ \t]*(;.*)?$/i
/** The value of `kOnHeadersComplete` that tells the library that no body follows. */
const SKIP_BODY = 1
const FIRST_FINAL_STATUS = 200
/** Statuses outside of HTTP's range are left of an answer that is none. */
const MIN_STATUS = 100
const MAX_STATUS = 599
const SWITCHING_PROTOCOLS = 101
const BLANK = /^[ \t]+$/
const STATUS_LINE = /HTTP\/1\.[01] \d{3}/
/** The library takes the first three digits of a longer status. */
const LONG_STATUS = /^HTTP\/1\.[01] \d{3}[^ ]/
const CONTENT_LENGTH = /^\d{1,15}$/

/** Internal fields of the parser that the stricter checks use. */
interface ParserState {
  consumeLine: () => string | undefined
  parseHeader: (line: string, headers: string[]) => void
  body_bytes: number | null
  state: string
  /** The received part of a line. */
  line: string
  offset: number
  maxHeaderSize: number
}

const LINE_PARTS: Record<string, LinePart> = {
  RESPONSE_LINE: LinePart.StatusLine,
  HEADER: LinePart.Field,
  BODY_CHUNKHEAD: LinePart.Chunk,
  BODY_CHUNKEMPTYLINE: LinePart.Chunk,
  BODY_CHUNKTRAILERS: LinePart.Trailer,
}

/**
 * Parses a connection's bytes into answers. It is stricter than its library where a
 * malformed length would make an interrupted answer look complete.
 */
export class ResponseParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE)

  constructor (events: ParserEvents) {
    const parser = this.#parser
    const bounds = new WireBounds()
    let interim = false
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const { statusCode: status, headers, shouldKeepAlive } = info
      if (status < MIN_STATUS || status > MAX_STATUS) throw new Error(`a status outside of HTTP's range: ${status}`)
      checkFraming(headers)
      // Interim (1xx) answers precede the final one, and have no body.
      interim = status < FIRST_FINAL_STATUS
      if (status === SWITCHING_PROTOCOLS) throw new Error('a change of protocol that was not requested')
      if (interim) {
        bounds.recordInterim()
        return SKIP_BODY
      }
      bounds.recordFinal()
      return events.onHead({ status, headers, framing: framingOf(status, headers), reusable: shouldKeepAlive }) ? SKIP_BODY : undefined
    }
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => events.onBody(chunk.subarray(offset, offset + length))
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (!interim) events.onComplete()
    }
    const state = parser as unknown as ParserState & { BODY_CHUNKHEAD: () => void }
    boundLines(state, bounds)
    skipBlankFields(state)
    rejectMalformedChunkSizes(state)
  }

  /** Parses received bytes. Throws if they are not valid HTTP. */
  push (bytes: Buffer): void {
    const result = this.#parser.execute(bytes)
    if (result instanceof Error) throw result
  }

  /** Whether nothing has been received of an answer that is not complete. */
  get isBetweenAnswers (): boolean {
    const { state, line } = this.#parser as unknown as ParserState
    return state === 'RESPONSE_LINE' && line === ''
  }

  /** Signals that the connection was closed without an error, which completes an answer without a length. */
  end (): void {
    this.#parser.finish()
  }
}

/** Statuses whose answers have no body. */
const BODYLESS_STATUSES: readonly number[] = [204, 304]

function framingOf (status: number, headers: readonly string[]): AnswerFraming {
  if (headerValue(headers, 'transfer-encoding') !== undefined) return AnswerFraming.Chunked
  const hasLength = headerValue(headers, 'content-length') !== undefined || BODYLESS_STATUSES.includes(status)
  return hasLength ? AnswerFraming.Length : AnswerFraming.Connection
}

function checkFraming (headers: readonly string[]): void {
  headers.forEach((name, i) => {
    if (i % 2 !== 0) return
    const lower = name.toLowerCase()
    const value = headers[i + 1]
    if (lower === 'content-length' && !CONTENT_LENGTH.test(value)) throw new Error(`malformed content-length «${value}»`)
    if (lower === 'transfer-encoding' && value.toLowerCase() !== 'chunked') throw new Error(`unsupported transfer-encoding «${value}»`)
  })
}

/** Replaces the library's bound, which covers no interim answers, chunk lines or trailers. */
function boundLines (parser: ParserState, bounds: WireBounds): void {
  const consumeLine = parser.consumeLine.bind(parser)
  parser.maxHeaderSize = Number.POSITIVE_INFINITY
  parser.consumeLine = () => {
    const from = parser.offset
    const line = consumeLine()
    const part = LINE_PARTS[parser.state]
    bounds.recordLine(part, parser.offset - from, line !== undefined)
    if (line !== undefined && part === LinePart.StatusLine && LONG_STATUS.test(line)) throw new Error('a status of more than three digits')
    if (line !== undefined) rejectSecondStatusLine(part, line)
    return line
  }
}

/** A status line that follows part of a head belongs to another answer: the part is left of one that was cut short. */
function rejectSecondStatusLine (part: LinePart, line: string): void {
  const from = part === LinePart.StatusLine ? 1 : 0
  if ((part === LinePart.StatusLine || part === LinePart.Field) && STATUS_LINE.test(line.slice(from))) throw new Error('a status line inside a head')
}

/** The time that the library takes for a line of blanks is quadratic in its length. */
function skipBlankFields (parser: ParserState): void {
  const parseHeader = parser.parseHeader.bind(parser)
  parser.parseHeader = (line, headers) => {
    if (!BLANK.test(line)) parseHeader(line, headers)
  }
}

/** Replaces the library's parsing of chunk sizes, which takes an invalid chunk size for the end of the answer. */
function rejectMalformedChunkSizes (parser: ParserState & { BODY_CHUNKHEAD: () => void }): void {
  parser.BODY_CHUNKHEAD = () => {
    const line = parser.consumeLine()
    if (line === undefined) return
    if (!CHUNK_SIZE.test(line)) throw new Error('malformed chunk size')
    parser.body_bytes = parseInt(line, 16)
    parser.state = parser.body_bytes > 0 ? 'BODY_CHUNK' : 'BODY_CHUNKTRAILERS'
  }
}
