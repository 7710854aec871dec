import { type LogLine } from './readLogLines.js'

/** How a request ended and why, according to the log lines. */
export interface Explanation {
  /** Log lines of the request, in the order in which its box wrote them. */
  trail: LogLine[]
  /** Log lines of the attempt that began its stream, if it takes one up. */
  origin: LogLine[]
  /** What became of its silent exchanges, and why no other attempt was made. */
  silences: string[]
  /** Cached state of its box and of its scheduler's box at the time: the last state change of each kind before the request's last line. */
  beliefs: LogLine[]
  /** Suspicions by any box of the request's upstreams at about the same time. */
  suspicions: LogLine[]
  /** Number of log lines dropped under load; the trace may have gaps. */
  droppedLines: number
  cause: string
}
