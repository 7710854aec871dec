import { Outcome } from './requestEnd.js'
import { type TallyRetries } from './tallyRetries.js'
import { type MissingLines, type Tally, type TallyGroup } from './tallyRequests.js'
import { type StageStats, type TallyRow } from './tallyRow.js'

const HEADINGS = ['requests', 'share', 'held median', 'mean', '99%', 'placed', 'sent', 'first part', 'retries']
const OUTCOME_LABELS: Record<Outcome, string> = {
  [Outcome.ServedInTime]: 'served in time',
  [Outcome.ServedLate]: 'served late',
  [Outcome.Served]: 'served, no target logged',
  [Outcome.Refused]: 'refused',
  [Outcome.Failed]: 'failed',
  [Outcome.Cancelled]: 'left',
}
const EMPTY_CELL = '-'
const TO_PERCENT = 100

/** Formats the tally as lines of text. */
export function tallyLines ({ kinds, routes, returns, missing }: Tally): string[] {
  return [
    'Times are milliseconds since the request arrived; «3 @ 40» means that 3 requests reached the stage, after a median of 40 ms.',
    ...kinds.flatMap((kind) => ['', `kind ${kind.name}: ${kind.requests} requests`, ...table(kind)]),
    ...routes.flatMap((route) => ['', `route ${route.name}${route.kind === undefined ? '' : ` (${route.kind})`}: ${route.requests} requests`, ...table(route)]),
    ...retryLines(returns),
    ...missingLines(missing),
  ]
}

function table ({ rows }: TallyGroup): string[] {
  const cells = [[...HEADINGS, ''], ...rows.map(rowCells)]
  const widths = HEADINGS.map((_, column) => Math.max(...cells.map((row) => row[column].length)))
  return cells.map((row) => `  ${widths.map((width, column) => row[column].padStart(width)).join('  ')}  ${row[HEADINGS.length]}`.trimEnd())
}

function rowCells ({ outcome, cause, requests, share, heldMs, placed, sent, firstPart, retries }: TallyRow): string[] {
  return [
    String(requests),
    `${(share * TO_PERCENT).toFixed(1)}%`,
    ...[heldMs?.median, heldMs?.mean, heldMs?.p99].map((ms) => ms === undefined ? EMPTY_CELL : String(ms)),
    ...[placed, sent, firstPart].map(stageCell),
    retries?.toFixed(1) ?? EMPTY_CELL,
    cause === undefined ? OUTCOME_LABELS[outcome] : `${OUTCOME_LABELS[outcome]}: ${cause}`,
  ]
}

function stageCell (stage: StageStats | undefined): string {
  return stage && stage.requests > 0 ? `${stage.requests} @ ${stage.medianMs}` : EMPTY_CELL
}

function retryLines ({ refused, cameBack, ends }: TallyRetries): string[] {
  if (refused === 0) return []
  return ['', `${refused} prompts were refused at least once; ${cameBack} of them were retried`, ...ends.map(({ outcome, requests }) => `  ${requests} ${outcome === Outcome.Refused ? 'refused again' : OUTCOME_LABELS[outcome]}`)]
}

function missingLines ({ droppedLines, unreadableLines, withoutEnd, withoutTrail }: MissingLines): string[] {
  const counts = [
    { count: droppedLines, text: 'lines were dropped under load: their events are not counted' },
    { count: unreadableLines, text: 'lines could not be read' },
    { count: withoutEnd, text: 'requests have no end: they were still running, their process exited, or the line was dropped' },
    { count: withoutTrail, text: 'requests have an incomplete trace: the counts of placed requests and retries may be too low' },
  ].filter(({ count }) => count > 0)
  return counts.length > 0 ? ['', ...counts.map(({ count, text }) => `${count} ${text}`)] : []
}
