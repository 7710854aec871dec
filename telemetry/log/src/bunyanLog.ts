import bunyan from 'bunyan'
import { BoundedLineStream } from './boundedLineStream.js'
import { Log, type LogEvent, type LogFields } from './log.js'

const STANDARD_OUTPUT = 1

export interface BunyanLogOptions {
  box: string
  level: 'debug' | 'info' | 'warn' | 'error'
}

/** Writes log events as JSON lines to standard output. */
export class BunyanLog extends Log {
  readonly #logger: bunyan
  readonly #lines: BoundedLineStream

  constructor (opts: BunyanLogOptions) {
    super()
    this.#lines = new BoundedLineStream({ fileDescriptor: STANDARD_OUTPUT, nowMs: () => performance.now() })
    // Bunyan only calls `write` on a stream.
    const stream = this.#lines as unknown as NodeJS.WritableStream
    this.#logger = bunyan.createLogger({ name: 'reelspan', box: opts.box, level: opts.level, stream })
  }

  override get droppedLines (): number {
    return this.#lines.totalDrops
  }

  info (event: LogEvent, fields: LogFields = {}): void {
    this.#logger.info({ event, ...fields }, event)
  }

  warn (event: LogEvent, fields: LogFields = {}): void {
    this.#logger.warn({ event, ...fields }, event)
  }
}
