import { write } from 'node:fs'
import { LogEvent } from './log.js'
import { RateLimiter } from './rateLimiter.js'

export interface BoundedLineStreamOptions {
  /** The file descriptor to write to. */
  fileDescriptor: number
  /** Milliseconds on a monotonic clock. */
  nowMs: () => number
  /** The maximum size of the queued lines. */
  maxQueuedBytes?: number
  maxLinesPerSecond?: number
}

/** The log of some seconds of a busy box, which is queued while the reader is slow. */
const MAX_QUEUED_BYTES = 262_144
/** Ten times the log rate of a box under full load. */
const MAX_LINES_PER_SECOND = 500
/** The delay before writing to a full pipe again. */
const FULL_PIPE_RETRY_MS = 20

/** Writes lines without ever blocking the process. Drops and counts lines above the rate or the queue size. */
export class BoundedLineStream {
  readonly #opts: BoundedLineStreamOptions
  readonly #rateLimiter: RateLimiter
  #queue: string[] = []
  #queuedBytes = 0
  #writing = false
  #unreportedDrops = 0
  #reportedDrops = 0

  constructor (opts: BoundedLineStreamOptions) {
    this.#opts = opts
    this.#rateLimiter = new RateLimiter({ nowMs: opts.nowMs, perSecond: opts.maxLinesPerSecond ?? MAX_LINES_PER_SECOND })
  }

  /** Lines dropped since the last `linesDropped` event. */
  get unreportedDrops (): number {
    return this.#unreportedDrops
  }

  /** All lines dropped so far. */
  get totalDrops (): number {
    return this.#unreportedDrops + this.#reportedDrops
  }

  write (line: string): void {
    const { maxQueuedBytes = MAX_QUEUED_BYTES } = this.#opts
    if (!this.#rateLimiter.tryAcquire() || this.#queuedBytes + line.length > maxQueuedBytes) {
      this.#unreportedDrops++
      return
    }
    if (this.#unreportedDrops > 0) this.#reportDrops()
    this.#enqueue(line)
    this.#flush()
  }

  #reportDrops (): void {
    this.#enqueue(`${JSON.stringify({ event: LogEvent.LinesDropped, lines: this.#unreportedDrops })}\n`)
    this.#reportedDrops += this.#unreportedDrops
    this.#unreportedDrops = 0
  }

  #enqueue (line: string): void {
    this.#queue.push(line)
    this.#queuedBytes += line.length
  }

  #flush (): void {
    if (this.#writing || this.#queue.length === 0) return
    const bytes = Buffer.from(this.#queue.join(''))
    this.#queue = []
    this.#writing = true
    this.#writeAll(bytes)
  }

  #writeAll (bytes: Buffer): void {
    write(this.#opts.fileDescriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.#writeAll(bytes), FULL_PIPE_RETRY_MS).unref()
        return
      }
      const rest = error ? Buffer.alloc(0) : bytes.subarray(written)
      // The reader has closed the pipe: the lost batch is counted as one dropped line.
      if (error) this.#unreportedDrops++
      if (rest.length > 0) return this.#writeAll(rest)
      this.#queuedBytes = this.#queue.reduce((sum, line) => sum + line.length, 0)
      this.#writing = false
      this.#flush()
    })
  }
}
