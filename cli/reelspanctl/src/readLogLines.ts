import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { LogEvent } from '@reelspan/telemetry.log'

/** A log line of a box, with the fields that all commands use. */
export interface LogLine {
  event: string
  box?: string
  /** Wall clock of the box. It orders the box's own lines, but not lines of different boxes. */
  time?: string
  request?: string
  [field: string]: unknown
}

export interface ParsedLog {
  lines: LogLine[]
  unreadable: number
}

/** Reads boxes' log lines from files, or from standard input if no file is given. */
export async function readLogLines (files: readonly string[]): Promise<ParsedLog> {
  const texts = files.length > 0 ? await Promise.all(files.map((file) => readFile(file, 'utf8'))) : [await text(process.stdin)]
  return parseLogLines(texts.join('\n'))
}

/** Number of log lines that boxes dropped under load. */
export function droppedLines (lines: readonly LogLine[]): number {
  return lines.filter(({ event }) => event === LogEvent.LinesDropped).reduce((sum, line) => sum + Number(line.lines), 0)
}

/** Parses one JSON object per line; text before the first brace is skipped. */
function parseLogLines (text: string): ParsedLog {
  const parsed = text.split('\n').filter((line) => line.includes('{')).map(parseLine)
  return { lines: parsed.filter((line) => line !== undefined), unreadable: parsed.filter((line) => line === undefined).length }
}

function parseLine (text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text.slice(text.indexOf('{'))) as LogLine
    return typeof line.event === 'string' ? line : undefined
  } catch {
    // A truncated line, or a line of another program. They are counted as unreadable.
    return undefined
  }
}
