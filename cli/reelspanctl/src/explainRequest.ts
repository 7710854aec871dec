import { LogEvent } from '@reelspan/telemetry.log'
import { likelyCause } from './likelyCause.js'
import { droppedLines, type LogLine } from './readLogLines.js'

/** What log lines say of one request. */
export interface Explanation {
  /** The trail of the request, in the order in which its box wrote it. */
  trail: LogLine[]
  /** What its box, and whoever placed it, believed at the time: the last line of each kind before its end. */
  beliefs: LogLine[]
  /** Upstreams of the trail that any box suspected around that time. */
  suspicions: LogLine[]
  /** Lines that were dropped under load: the trail may have gaps. */
  droppedLines: number
  cause: string
}

/** Suspicions this long before or after the request say something of it. Clocks of boxes may differ by as much. */
const AROUND_MS = 10_000
const NOT_OF_THE_DECISION = ['name', 'hostname', 'pid', 'level', 'v', 'msg', 'time', 'event', 'box', 'request']

/** Explains a request, or answers nothing when no line names it. */
export function explainRequest (lines: readonly LogLine[], requestId: string): Explanation | undefined {
  const trail = lines.filter(({ request }) => request === requestId)
  if (trail.length === 0) return undefined
  const last = trail[trail.length - 1]
  const boxes = new Set([...trail.map(({ box }) => box), ...trail.map(({ scheduler }) => scheduler)])
  const before = lines.slice(0, lines.indexOf(last)).filter(({ box }) => boxes.has(box))
  const upstreams = new Set<unknown>(trail.flatMap(({ upstream, prefillEngine, decodeEngine }) => [upstream, prefillEngine, decodeEngine]).filter((name) => name !== undefined))
  const suspicions = lines.filter((line) => line.event === LogEvent.UpstreamSuspected && upstreams.has(line.upstream) && isAround(line, last))
  return {
    trail,
    beliefs: lastOfEach(before.filter(isBelief)),
    suspicions,
    droppedLines: droppedLines(lines.filter(({ box }) => box === undefined || boxes.has(box))),
    cause: likelyCause({ trail, suspicions }),
  }
}

/** The explanation as text, a line each. */
export function explanationLines (requestId: string, { trail, beliefs, suspicions, droppedLines, cause }: Explanation): string[] {
  return [
    `request ${requestId}, run by ${trail[0].box ?? 'an unknown box'}`,
    ...trail.map(lineText),
    ...beliefs.length > 0 ? ['what was believed then', ...beliefs.map(lineText)] : [],
    ...suspicions.length > 0 ? ['its upstreams, as boxes saw them', ...suspicions.map(lineText)] : [],
    ...droppedLines > 0 ? [`${droppedLines} lines were dropped under load: parts of the trail may be missing`] : [],
    ...trail.some(({ event }) => event === LogEvent.RequestEnded) ? [] : ['the end is missing: it still ran, the process ended, or the line was dropped'],
    `likely cause: ${cause}`,
  ]
}

function isBelief ({ event }: LogLine): boolean {
  const kinds: string[] = [LogEvent.Started, LogEvent.Stopping, LogEvent.RevisionAdopted, LogEvent.RevisionRejected, LogEvent.DependencyLost, LogEvent.DependencyRegained, LogEvent.EntriesKept, LogEvent.SchedulerTaken, LogEvent.SchedulerLeft]
  return kinds.includes(event)
}

/** A dependency that was lost and regained, or a shard that was taken and left, is one belief. */
function lastOfEach (lines: readonly LogLine[]): LogLine[] {
  const kindOf = ({ event }: LogLine) => event.startsWith('dependency') ? 'dependency' : event.startsWith('scheduler') ? 'scheduler' : event
  const last = new Map<string, LogLine>()
  lines.forEach((line) => {
    const key = [line.box, kindOf(line), line.collection, line.shard].join('|')
    last.delete(key)
    last.set(key, line)
  })
  return [...last.values()]
}

function isAround (line: LogLine, end: LogLine): boolean {
  if (line.time === undefined || end.time === undefined) return true
  return Math.abs(Date.parse(line.time) - Date.parse(end.time)) <= AROUND_MS
}

function lineText (line: LogLine): string {
  const fields = Object.entries(line).filter(([name]) => !NOT_OF_THE_DECISION.includes(name)).map(([name, value]) => `${name}=${typeof value === 'string' && !value.includes(' ') ? value : JSON.stringify(value)}`)
  return `  ${line.time ?? ''}  ${line.box ?? ''}  ${line.event}  ${fields.join(' ')}`.trimEnd()
}
