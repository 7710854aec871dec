import { LogEvent } from '@reelspan/telemetry.log'
import { describeSilences } from './describeSilences.js'
import { type Explanation } from './explanation.js'
import { likelyCause } from './likelyCause.js'
import { droppedLines, type LogLine } from './readLogLines.js'

/** Suspicions up to this long before or after the request's last line count as related. Clocks of boxes may differ by as much. */
const SUSPICION_WINDOW_MS = 10_000
const OMITTED_FIELDS = ['name', 'hostname', 'pid', 'level', 'v', 'msg', 'time', 'event', 'box', 'request']

/** Explains a request; undefined if no line names it. */
export function explainRequest (lines: readonly LogLine[], requestId: string): Explanation | undefined {
  const trace = lines.filter(({ request }) => request === requestId)
  if (trace.length === 0) return undefined
  const last = trace[trace.length - 1]
  const boxes = new Set([...trace.map(({ box }) => box), ...trace.map(({ scheduler }) => scheduler), ...trace.map(({ delegate }) => delegate)])
  const before = lines.slice(0, lines.indexOf(last)).filter(({ box }) => boxes.has(box))
  const upstreams = new Set<unknown>(trace.flatMap(({ upstream, prefillEngine, decodeEngine }) => [upstream, prefillEngine, decodeEngine]).filter((name) => name !== undefined))
  const suspicions = lines.filter((line) => line.event === LogEvent.UpstreamSuspected && upstreams.has(line.upstream) && isWithinWindow(line, last))
  const began = trace.find(({ resumesAttempt }) => resumesAttempt !== undefined)?.resumesAttempt
  return {
    trail: trace,
    origin: began === undefined ? [] : lines.filter(({ request }) => request === began),
    silences: describeSilences(trace),
    beliefs: lastOfEachKind(before.filter(isStateChange)),
    suspicions,
    droppedLines: droppedLines(lines.filter(({ box }) => box === undefined || boxes.has(box))),
    cause: likelyCause({ trail: trace, suspicions }),
  }
}

/** Formats the explanation as lines of text. */
export function explanationLines (requestId: string, { trail, origin, silences, beliefs, suspicions, droppedLines, cause }: Explanation): string[] {
  return [
    `request ${requestId}, run by ${trail[0].box ?? 'an unknown box'}`,
    ...trail.map(lineText),
    ...origin.length > 0 ? [`the attempt that began its stream, ${origin[0].request}`, ...origin.map(lineText)] : [],
    ...silences.length > 0 ? ['silent exchanges and failed attempts', ...silences.map((text) => `  ${text}`)] : [],
    ...beliefs.length > 0 ? ['state known to its boxes at the time', ...beliefs.map(lineText)] : [],
    ...suspicions.length > 0 ? ['suspicions of its upstreams', ...suspicions.map(lineText)] : [],
    ...droppedLines > 0 ? [`${droppedLines} lines were dropped under load: parts of the trace may be missing`] : [],
    ...trail.some(({ event }) => event === LogEvent.RequestEnded) ? [] : ['the end is missing: the request was still running, its process exited, or the line was dropped'],
    `likely cause: ${cause}`,
  ]
}

function isStateChange ({ event }: LogLine): boolean {
  const kinds: string[] = [LogEvent.Started, LogEvent.Stopping, LogEvent.RevisionAdopted, LogEvent.RevisionRejected, LogEvent.DependencyLost, LogEvent.DependencyRegained, LogEvent.EntriesKept, LogEvent.SchedulerTaken, LogEvent.SchedulerLeft, LogEvent.UpstreamPathsLost, LogEvent.UpstreamPathsRegained]
  return kinds.includes(event)
}

/** Loss and recovery of a dependency or of the paths to the upstreams count as one kind, and so do the start and stop of a shard's scheduler. */
function lastOfEachKind (lines: readonly LogLine[]): LogLine[] {
  const kindOf = ({ event }: LogLine) => event.startsWith('dependency') ? 'dependency' : event.startsWith('scheduler') ? 'scheduler' : event.startsWith('upstreamPaths') ? 'upstreamPaths' : event
  const last = new Map<string, LogLine>()
  lines.forEach((line) => {
    const key = [line.box, kindOf(line), line.collection, line.shard].join('|')
    last.delete(key)
    last.set(key, line)
  })
  return [...last.values()]
}

function isWithinWindow (line: LogLine, end: LogLine): boolean {
  if (line.time === undefined || end.time === undefined) return true
  return Math.abs(Date.parse(line.time) - Date.parse(end.time)) <= SUSPICION_WINDOW_MS
}

function lineText (line: LogLine): string {
  const fields = Object.entries(line).filter(([name]) => !OMITTED_FIELDS.includes(name)).map(([name, value]) => `${name}=${typeof value === 'string' && !value.includes(' ') ? value : JSON.stringify(value)}`)
  return `  ${line.time ?? ''}  ${line.box ?? ''}  ${line.event}  ${fields.join(' ')}`.trimEnd()
}
