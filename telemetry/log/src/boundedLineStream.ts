import { write } from 'node:fs'
import { LogEvent } from './log.js'
import { RateLimit } from './rateLimit.js'

export interface BoundedLineStreamOptions {
  /** File descriptor that lines go to. */
  fileDescriptor: number
  /** Milliseconds on a steady clock. */
  nowMs: () => number
  /** Lines that may wait to be written, in bytes. */
  maxWaitingBytes?: number
  maxLinesPerSecond?: number
}

/** What waits may grow to this while the reader is slow: some seconds of a busy box. */
const MAX_WAITING_BYTES = 262_144
/** Ten times what a box logs at the highest load that was measured. */
const MAX_LINES_PER_SECOND = 500
/** A full pipe is tried again after this time. */
const FULL_RETRY_MS = 20

/** Writes lines without ever holding up the process: what is too much is dropped and counted. */
export class BoundedLineStream {
  readonly #opts: BoundedLineStreamOptions
  readonly #rate: RateLimit
  #waiting: string[] = []
  #waitingBytes = 0
  #writing = false
  #dropped = 0
  #toldDropped = 0

  constructor (opts: BoundedLineStreamOptions) {
    this.#opts = opts
    this.#rate = new RateLimit({ nowMs: opts.nowMs, perSecond: opts.maxLinesPerSecond ?? MAX_LINES_PER_SECOND })
  }

  /** Lines dropped and not yet told of. */
  get dropped (): number {
    return this.#dropped
  }

  /** Lines dropped so far. */
  get droppedInAll (): number {
    return this.#dropped + this.#toldDropped
  }

  write (line: string): void {
    const { maxWaitingBytes = MAX_WAITING_BYTES } = this.#opts
    if (!this.#rate.take() || this.#waitingBytes + line.length > maxWaitingBytes) {
      this.#dropped++
      return
    }
    if (this.#dropped > 0) this.#tellDropped()
    this.#add(line)
    this.#pump()
  }

  #tellDropped (): void {
    this.#add(`${JSON.stringify({ event: LogEvent.LinesDropped, lines: this.#dropped })}\n`)
    this.#toldDropped += this.#dropped
    this.#dropped = 0
  }

  #add (line: string): void {
    this.#waiting.push(line)
    this.#waitingBytes += line.length
  }

  #pump (): void {
    if (this.#writing || this.#waiting.length === 0) return
    const bytes = Buffer.from(this.#waiting.join(''))
    this.#waiting = []
    this.#writing = true
    this.#writeAll(bytes)
  }

  #writeAll (bytes: Buffer): void {
    write(this.#opts.fileDescriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.#writeAll(bytes), FULL_RETRY_MS).unref()
        return
      }
      const rest = error ? Buffer.alloc(0) : bytes.subarray(written)
      // A reader that is gone leaves nothing to write to: what is lost is counted.
      if (error) this.#dropped++
      if (rest.length > 0) return this.#writeAll(rest)
      this.#waitingBytes = this.#waiting.reduce((sum, line) => sum + line.length, 0)
      this.#writing = false
      this.#pump()
    })
  }
}
