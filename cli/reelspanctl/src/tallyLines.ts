import { Outcome } from './requestEnd.js'
import { type TallyReturns } from './tallyReturns.js'
import { type MissingLines, type Tally, type TallyGroup } from './tallyRequests.js'
import { type Reached, type TallyRow } from './tallyRow.js'

const HEADINGS = ['requests', 'share', 'held median', 'mean', '99%', 'placed', 'sent', 'first part', 'retries']
const WORDS: Record<Outcome, string> = {
  [Outcome.ServedInTime]: 'served in time',
  [Outcome.ServedLate]: 'served late',
  [Outcome.Served]: 'served, no target known',
  [Outcome.Refused]: 'refused',
  [Outcome.Failed]: 'failed',
  [Outcome.Left]: 'left',
}
const NOTHING = '-'
const TO_PERCENT = 100

/** The tally as text, a line each. */
export function tallyLines ({ kinds, routes, returns, missing }: Tally): string[] {
  return [
    'Times are milliseconds since the request came; «3 @ 40» says that 3 of them got so far, at the median after 40 ms.',
    ...kinds.flatMap((kind) => ['', `kind ${kind.name}: ${kind.requests} requests`, ...table(kind)]),
    ...routes.flatMap((route) => ['', `route ${route.name}${route.kind === undefined ? '' : ` (${route.kind})`}: ${route.requests} requests`, ...table(route)]),
    ...returnLines(returns),
    ...missingLines(missing),
  ]
}

function table ({ rows }: TallyGroup): string[] {
  const cells = [[...HEADINGS, ''], ...rows.map(cellsOf)]
  const widths = HEADINGS.map((_, column) => Math.max(...cells.map((row) => row[column].length)))
  return cells.map((row) => `  ${widths.map((width, column) => row[column].padStart(width)).join('  ')}  ${row[HEADINGS.length]}`.trimEnd())
}

function cellsOf ({ outcome, cause, requests, share, heldMs, placed, sent, firstPart, retries }: TallyRow): string[] {
  return [
    String(requests),
    `${(share * TO_PERCENT).toFixed(1)}%`,
    ...[heldMs?.median, heldMs?.mean, heldMs?.p99].map((ms) => ms === undefined ? NOTHING : String(ms)),
    ...[placed, sent, firstPart].map(reachedCell),
    retries?.toFixed(1) ?? NOTHING,
    cause === undefined ? WORDS[outcome] : `${WORDS[outcome]}: ${cause}`,
  ]
}

function reachedCell (reached: Reached | undefined): string {
  return reached && reached.requests > 0 ? `${reached.requests} @ ${reached.medianMs}` : NOTHING
}

function returnLines ({ refused, cameBack, ends }: TallyReturns): string[] {
  if (refused === 0) return []
  return ['', `${refused} prompts were refused at least once; ${cameBack} of them came again`, ...ends.map(({ outcome, requests }) => `  ${requests} ${outcome === Outcome.Refused ? 'refused again' : WORDS[outcome]}`)]
}

function missingLines ({ droppedLines, unreadableLines, withoutEnd, withoutTrail }: MissingLines): string[] {
  const said = [
    { count: droppedLines, text: 'lines were dropped under load: what they told of is not counted' },
    { count: unreadableLines, text: 'lines could not be read' },
    { count: withoutEnd, text: 'requests have no end: they still ran, their process ended, or the line was dropped' },
    { count: withoutTrail, text: 'requests lack lines of their trail: what was known when may be said of too few' },
  ].filter(({ count }) => count > 0)
  return said.length > 0 ? ['', ...said.map(({ count, text }) => `${count} ${text}`)] : []
}
