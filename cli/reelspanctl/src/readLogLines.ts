import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { LogEvent } from '@reelspan/telemetry.log'

/** A log line of a box, as far as it is needed here. */
export interface LogLine {
  event: string
  box?: string
  /** Wall clock of the box: good to order its own lines, and not against another box's. */
  time?: string
  request?: string
  [field: string]: unknown
}

export interface ReadLines {
  lines: LogLine[]
  unreadable: number
}

/** Reads boxes' log lines from files, or from standard input without any. */
export async function readLogLines (files: readonly string[]): Promise<ReadLines> {
  const texts = files.length > 0 ? await Promise.all(files.map((file) => readFile(file, 'utf8'))) : [await text(process.stdin)]
  return parseLogLines(texts.join('\n'))
}

/** How many lines boxes dropped under load. */
export function droppedLines (lines: readonly LogLine[]): number {
  return lines.filter(({ event }) => event === LogEvent.LinesDropped).reduce((sum, line) => sum + Number(line.lines), 0)
}

/** Whatever stands before the first brace of a line is passed over. */
function parseLogLines (text: string): ReadLines {
  const parsed = text.split('\n').filter((line) => line.includes('{')).map(parseLine)
  return { lines: parsed.filter((line) => line !== undefined), unreadable: parsed.filter((line) => line === undefined).length }
}

function parseLine (text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text.slice(text.indexOf('{'))) as LogLine
    return typeof line.event === 'string' ? line : undefined
  } catch {
    // A line that was cut, or of another program; the caller is told how many there were.
    return undefined
  }
}
