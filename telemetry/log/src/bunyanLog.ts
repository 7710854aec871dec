import bunyan from 'bunyan'
import { Log, type LogEvent, type LogFields } from './log.js'

export interface BunyanLogOptions {
  box: string
  level: 'debug' | 'info' | 'warn' | 'error'
}

/** Writes log events as JSON lines to standard output. */
export class BunyanLog extends Log {
  readonly #logger: bunyan

  constructor (opts: BunyanLogOptions) {
    super()
    this.#logger = bunyan.createLogger({ name: 'reelspan', box: opts.box, level: opts.level, stream: process.stdout })
  }

  info (event: LogEvent, fields: LogFields = {}): void {
    this.#logger.info({ event, ...fields }, event)
  }

  warn (event: LogEvent, fields: LogFields = {}): void {
    this.#logger.warn({ event, ...fields }, event)
  }
}
