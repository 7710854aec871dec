import { LogEvent } from '@reelspan/telemetry.log'
import { droppedLines, type LogLine } from './readLogLines.js'
import { Outcome, requestEnd, type RequestEnd } from './requestEnd.js'
import { tallyRetries, type TallyRetries } from './tallyRetries.js'
import { type EndedRequest, tallyRow, type TallyRow } from './tallyRow.js'

export interface TallyGroup {
  name: string
  /** Kind of the route's requests, if the group is a route. */
  kind?: string
  requests: number
  rows: TallyRow[]
}

/** How much information is missing from the log lines. */
export interface MissingLines {
  droppedLines: number
  unreadableLines: number
  /** Requests that were still running, whose process exited, or whose last line was dropped. */
  withoutEnd: number
  /** Requests that an upstream answered, but without a line that they were sent. */
  withoutTrail: number
}

export interface Tally {
  kinds: TallyGroup[]
  routes: TallyGroup[]
  returns: TallyRetries
  missing: MissingLines
}

const NO_ROUTE = 'no route'
const NO_KIND = 'not known'
const OUTCOME_ORDER = Object.values(Outcome)

/** Counts requests by kind, route and outcome. */
export function tallyRequests (lines: readonly LogLine[], unreadableLines: number): Tally {
  const traces = tracesOf(lines)
  const ended = lines.filter(({ event }) => event === LogEvent.RequestEnded).map((end): EndedRequest => ({ end, trail: traces.get(attemptIdOf(end)) ?? [], ...requestEnd(end) }))
  return {
    kinds: groupsOf(ended, kindOf),
    routes: groupsOf(ended, ({ end }) => String(end.route ?? NO_ROUTE)).map((group) => ({ ...group, kind: kindOfRoute(ended, group.name) })),
    returns: tallyRetries(ended),
    missing: {
      droppedLines: droppedLines(lines),
      unreadableLines,
      withoutEnd: [...traces.values()].filter((trace) => !trace.some(({ event }) => event === LogEvent.RequestEnded)).length,
      withoutTrail: ended.filter(({ end, trail }) => end.status !== undefined && !hasEvent(trail, LogEvent.RequestSent)).length,
    },
  }
}

/** Log lines of each attempt of a request, in the order in which its box wrote them. */
function tracesOf (lines: readonly LogLine[]): Map<string, LogLine[]> {
  const traces = new Map<string, LogLine[]>()
  lines.filter(({ request }) => request !== undefined).forEach((line) => {
    const trace = traces.get(attemptIdOf(line))
    if (trace) trace.push(line)
    else traces.set(attemptIdOf(line), [line])
  })
  return traces
}

/** Includes the box, since a caller may retry at another box with the same id. */
function attemptIdOf ({ box, request }: LogLine): string {
  return `${box ?? ''}|${request ?? ''}`
}

function kindOf ({ end }: EndedRequest): string {
  return String(end.kind ?? NO_KIND)
}

function kindOfRoute (ended: readonly EndedRequest[], route: string): string | undefined {
  const kind = ended.find(({ end }) => end.route === route)?.end.kind
  return kind === undefined ? undefined : String(kind)
}

/** Groups requests by name, those with the most requests not served in time first. */
function groupsOf (ended: readonly EndedRequest[], nameOf: (request: EndedRequest) => string): TallyGroup[] {
  const names = [...new Set(ended.map(nameOf))]
  return names.map((name) => groupOf(name, ended.filter((request) => nameOf(request) === name))).sort((a, b) => countNotInTime(b) - countNotInTime(a))
}

function countNotInTime ({ requests, rows }: TallyGroup): number {
  return requests - rows.filter(({ outcome }) => outcome === Outcome.ServedInTime).reduce((sum, row) => sum + row.requests, 0)
}

function groupOf (name: string, ended: readonly EndedRequest[]): TallyGroup {
  const keyOf = ({ outcome, cause }: RequestEnd) => `${outcome}|${cause ?? ''}`
  const rows = [...new Set(ended.map(keyOf))].map((key) => tallyRow(ended.filter((request) => keyOf(request) === key), ended.length))
  rows.sort((a, b) => OUTCOME_ORDER.indexOf(a.outcome) - OUTCOME_ORDER.indexOf(b.outcome) || b.requests - a.requests)
  return { name, requests: ended.length, rows }
}

function hasEvent (trace: readonly LogLine[], event: LogEvent): boolean {
  return trace.some((line) => line.event === event)
}
