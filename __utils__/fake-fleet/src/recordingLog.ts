import { Log, type LogEvent, type LogFields } from '@reelspan/telemetry.log'

/** Records log events for tests instead of printing them. */
export class RecordingLog extends Log {
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
