import { AnswerFraming } from '@reelspan/upstream.client'
import { HTTPParser } from 'http-parser-js'
import { headerValue } from './rawHeaders.js'

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
const CONTENT_LENGTH = /^\d{1,15}$/

/** Internal fields of the parser that the stricter chunk size check uses. */
interface ParserState {
  consumeLine: () => string | undefined
  body_bytes: number | null
  state: string
}

/**
 * Parses a connection's bytes into answers. It is stricter than its library where a
 * malformed length would make an interrupted answer look complete.
 */
export class ResponseParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE)

  constructor (events: ParserEvents) {
    const parser = this.#parser
    let interim = false
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const { statusCode: status, headers, shouldKeepAlive } = info
      checkFraming(headers)
      // Interim (1xx) answers precede the final one.
      interim = status < FIRST_FINAL_STATUS
      const bodyless = !interim && events.onHead({ status, headers, framing: framingOf(status, headers), reusable: shouldKeepAlive })
      return bodyless ? SKIP_BODY : undefined
    }
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => events.onBody(chunk.subarray(offset, offset + length))
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (!interim) events.onComplete()
    }
    rejectMalformedChunkSizes(parser as unknown as ParserState & { BODY_CHUNKHEAD: () => void })
  }

  /** Parses received bytes. Throws if they are not valid HTTP. */
  push (bytes: Buffer): void {
    const result = this.#parser.execute(bytes)
    if (result instanceof Error) throw result
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
