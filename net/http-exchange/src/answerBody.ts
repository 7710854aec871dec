import { type AnswerBuffer, type PausableSource } from '@reelspan/upstream.client'
import { type ExchangeError } from './exchangeError.js'

interface Part {
  bytes: Uint8Array
  /** What is released when the part has been passed on. */
  chargedBytes: number
}

/** The memory that a queued part takes beside its bytes, for its views and its place in the queue. */
const PART_OVERHEAD_BYTES = 200

/** The body of an answer between its connection and its reader. Its bytes are charged to the answer's buffer while they are queued. */
export class AnswerBody implements AsyncIterable<Uint8Array> {
  readonly #buffer?: AnswerBuffer
  readonly #source: PausableSource
  readonly #parts: Part[] = []
  #unchargedParts = 0
  #wake?: () => void
  #ended = false
  #failure?: ExchangeError

  constructor (source: PausableSource, buffer?: AnswerBuffer) {
    this.#source = source
    this.#buffer = buffer
    buffer?.attach(source)
  }

  push (bytes: Uint8Array): void {
    if (this.#ended) return
    this.#parts.push({ bytes, chargedBytes: 0 })
    this.#unchargedParts++
    this.#notify()
  }

  /** Charges the parts of one read to the last of them, since all of them keep the whole read in memory. */
  endRead (readBytes: number): void {
    const last = this.#parts.at(-1)
    if (this.#unchargedParts === 0 || !last) return
    last.chargedBytes = readBytes + PART_OVERHEAD_BYTES * this.#unchargedParts
    this.#unchargedParts = 0
    this.#buffer?.charge(last.chargedBytes)
  }

  /** Ends the body. Its source is no longer paused, since its connection may serve other exchanges now. */
  end (): void {
    if (this.#ended) return
    this.#ended = true
    this.#buffer?.detach(this.#source)
    this.#notify()
  }

  fail (failure: ExchangeError): void {
    if (this.#ended) return
    this.#failure = failure
    this.end()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<Uint8Array> {
    try {
      while (true) {
        for (let part = this.#parts.shift(); part; part = this.#parts.shift()) {
          // From here on the reader accounts for the bytes.
          this.#buffer?.release(part.chargedBytes)
          yield part.bytes
        }
        if (this.#failure !== undefined) throw this.#failure
        if (this.#ended) return
        await new Promise<void>((resolve) => { this.#wake = resolve })
      }
    } finally {
      this.#buffer?.release(this.#parts.splice(0).reduce((sum, { chargedBytes }) => sum + chargedBytes, 0))
    }
  }

  #notify (): void {
    this.#wake?.()
    this.#wake = undefined
  }
}
