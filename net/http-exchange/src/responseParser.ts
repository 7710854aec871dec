import { HTTPParser } from 'http-parser-js'

/** What a parser tells of the answers on one connection. */
export interface ParserEvents {
  /** Answers whether no body follows, whatever the head says of its length. */
  onHead: (head: { status: number, headers: readonly string[], reusable: boolean }) => boolean
  onBody: (bytes: Uint8Array) => void
  onComplete: () => void
}

// The library drops a bit of each byte of a head, so that bytes above 127 become others, line ends among them.
HTTPParser.encoding = 'latin1'

const CHUNK_SIZE = /^[\da-f]{1,8}[ \t]*(;.*)?$/i
/** Tells the library that no body follows. */
const SKIP_BODY = 1
const FIRST_FINAL_STATUS = 200
const CONTENT_LENGTH = /^\d{1,15}$/

/** The parser's own fields that the stricter step below works on. */
interface ParserState {
  consumeLine: () => string | undefined
  body_bytes: number | null
  state: string
}

/**
 * Splits a connection's bytes into answers. Stricter than its library where a
 * malformed length would make an answer that broke off look whole.
 */
export class ResponseParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE)

  constructor (events: ParserEvents) {
    const parser = this.#parser
    let interim = false
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const { statusCode: status, headers, shouldKeepAlive } = info
      checkFraming(headers)
      // Interim answers stand before the real one.
      interim = status < FIRST_FINAL_STATUS
      const bodyless = !interim && events.onHead({ status, headers, reusable: shouldKeepAlive })
      return bodyless ? SKIP_BODY : undefined
    }
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => events.onBody(chunk.subarray(offset, offset + length))
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (!interim) events.onComplete()
    }
    requireChunkSizes(parser as unknown as ParserState & { BODY_CHUNKHEAD: () => void })
  }

  /** Takes in bytes. Throws when they are not an answer. */
  push (bytes: Buffer): void {
    const result = this.#parser.execute(bytes)
    if (result instanceof Error) throw result
  }

  /** The connection has ended in order: an answer without a length is whole now. */
  end (): void {
    this.#parser.finish()
  }
}

function checkFraming (headers: readonly string[]): void {
  headers.forEach((name, i) => {
    if (i % 2 !== 0) return
    const lower = name.toLowerCase()
    const value = headers[i + 1]
    if (lower === 'content-length' && !CONTENT_LENGTH.test(value)) throw new Error(`malformed content-length «${value}»`)
    if (lower === 'transfer-encoding' && value.toLowerCase() !== 'chunked') throw new Error(`unknown transfer-encoding «${value}»`)
  })
}

/** The library takes a chunk size that is no number for the end of the answer. */
function requireChunkSizes (parser: ParserState & { BODY_CHUNKHEAD: () => void }): void {
  parser.BODY_CHUNKHEAD = () => {
    const line = parser.consumeLine()
    if (line === undefined) return
    if (!CHUNK_SIZE.test(line)) throw new Error('malformed chunk size')
    parser.body_bytes = parseInt(line, 16)
    parser.state = parser.body_bytes > 0 ? 'BODY_CHUNK' : 'BODY_CHUNKTRAILERS'
  }
}
