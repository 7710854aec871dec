import { LogEvent } from '@reelspan/telemetry.log'
import { droppedLines, type LogLine } from './readLogLines.js'
import { Outcome, requestEnd, type RequestEnd } from './requestEnd.js'
import { tallyReturns, type TallyReturns } from './tallyReturns.js'
import { type EndedRequest, tallyRow, type TallyRow } from './tallyRow.js'

export interface TallyGroup {
  name: string
  /** Of a route. */
  kind?: string
  requests: number
  rows: TallyRow[]
}

/** What the log lines do not have. */
export interface MissingLines {
  droppedLines: number
  unreadableLines: number
  /** Requests that still ran, whose process ended, or whose last line was dropped. */
  withoutEnd: number
  /** Requests that were answered by an upstream of which no line tells. */
  withoutTrail: number
}

export interface Tally {
  kinds: TallyGroup[]
  routes: TallyGroup[]
  returns: TallyReturns
  missing: MissingLines
}

const NO_ROUTE = 'no route'
const NO_KIND = 'not known'
const IN_ORDER = Object.values(Outcome)

/** Counts requests by route and by how they ended. */
export function tallyRequests (lines: readonly LogLine[], unreadableLines: number): Tally {
  const trails = trailsOf(lines)
  const ended = lines.filter(({ event }) => event === LogEvent.RequestEnded).map((end): EndedRequest => ({ end, trail: trails.get(idOf(end)) ?? [], ...requestEnd(end) }))
  return {
    kinds: groupsOf(ended, kindOf),
    routes: groupsOf(ended, ({ end }) => String(end.route ?? NO_ROUTE)).map((group) => ({ ...group, kind: kindOfRoute(ended, group.name) })),
    returns: tallyReturns(ended),
    missing: {
      droppedLines: droppedLines(lines),
      unreadableLines,
      withoutEnd: [...trails.values()].filter((trail) => !trail.some(({ event }) => event === LogEvent.RequestEnded)).length,
      withoutTrail: ended.filter(({ end, trail }) => end.status !== undefined && !has(trail, LogEvent.RequestSent)).length,
    },
  }
}

/** The lines of each attempt of a request, in the order in which its box wrote them. */
function trailsOf (lines: readonly LogLine[]): Map<string, LogLine[]> {
  const trails = new Map<string, LogLine[]>()
  lines.filter(({ request }) => request !== undefined).forEach((line) => {
    const trail = trails.get(idOf(line))
    if (trail) trail.push(line)
    else trails.set(idOf(line), [line])
  })
  return trails
}

/** A caller may come back to another box with the same id. */
function idOf ({ box, request }: LogLine): string {
  return `${box ?? ''}|${request ?? ''}`
}

function kindOf ({ end }: EndedRequest): string {
  return String(end.kind ?? NO_KIND)
}

function kindOfRoute (ended: readonly EndedRequest[], route: string): string | undefined {
  const kind = ended.find(({ end }) => end.route === route)?.end.kind
  return kind === undefined ? undefined : String(kind)
}

/** The groups with the most requests that were not served in time come first. */
function groupsOf (ended: readonly EndedRequest[], nameOf: (request: EndedRequest) => string): TallyGroup[] {
  const names = [...new Set(ended.map(nameOf))]
  return names.map((name) => groupOf(name, ended.filter((request) => nameOf(request) === name))).sort((a, b) => notInTime(b) - notInTime(a))
}

function notInTime ({ requests, rows }: TallyGroup): number {
  return requests - rows.filter(({ outcome }) => outcome === Outcome.ServedInTime).reduce((sum, row) => sum + row.requests, 0)
}

function groupOf (name: string, ended: readonly EndedRequest[]): TallyGroup {
  const keyOf = ({ outcome, cause }: RequestEnd) => `${outcome}|${cause ?? ''}`
  const rows = [...new Set(ended.map(keyOf))].map((key) => tallyRow(ended.filter((request) => keyOf(request) === key), ended.length))
  rows.sort((a, b) => IN_ORDER.indexOf(a.outcome) - IN_ORDER.indexOf(b.outcome) || b.requests - a.requests)
  return { name, requests: ended.length, rows }
}

function has (trail: readonly LogLine[], event: LogEvent): boolean {
  return trail.some((line) => line.event === event)
}
