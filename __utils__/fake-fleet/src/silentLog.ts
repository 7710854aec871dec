import { Log, type LogEvent, type LogFields } from '@reelspan/telemetry.log'

/** Keeps log events for tests to look at. */
export class SilentLog extends Log {
  readonly entries: { event: LogEvent, fields?: LogFields }[] = []

  info (event: LogEvent, fields?: LogFields): void {
    this.entries.push({ event, fields })
  }

  warn (event: LogEvent, fields?: LogFields): void {
    this.entries.push({ event, fields })
  }

  count (event: LogEvent): number {
    return this.entries.filter((entry) => entry.event === event).length
  }
}
