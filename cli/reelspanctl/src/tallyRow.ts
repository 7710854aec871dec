import { percentile } from '@reelspan/request.owner'
import { LogEvent } from '@reelspan/telemetry.log'
import { type LogLine } from './readLogLines.js'
import { Outcome, type RequestEnd } from './requestEnd.js'

/** Requests of a group that got so far, and when at the median since they came. */
export interface Reached {
  requests: number
  medianMs: number
}

/** Requests that ended alike. */
export interface TallyRow {
  outcome: Outcome
  cause?: string
  requests: number
  share: number
  /** From here on: for requests that were not served in time. */
  heldMs?: { median: number, mean: number, p99: number }
  placed?: Reached
  sent?: Reached
  firstPart?: Reached
  /** Tries after the first one, for each request. */
  retries?: number
}

/** A request with its lines. */
export interface EndedRequest extends RequestEnd {
  end: LogLine
  trail: readonly LogLine[]
}

const MEDIAN = 50
const LAST_IN_100 = 99

/** What requests that ended alike have in common. */
export function tallyRow (alike: readonly EndedRequest[], total: number): TallyRow {
  const [{ outcome, cause }] = alike
  const row = { outcome, cause, requests: alike.length, share: alike.length / total }
  if (outcome === Outcome.ServedInTime || outcome === Outcome.Served) return row
  const held = alike.map(({ heldMs }) => heldMs)
  return {
    ...row,
    heldMs: { median: percentile(held, MEDIAN), mean: Math.round(sumOf(held) / held.length), p99: percentile(held, LAST_IN_100) },
    placed: reached(alike.map(({ trail }) => trail.find(({ event }) => event === LogEvent.RequestPlaced)?.atMs)),
    sent: reached(alike.map(({ end }) => end.lastSentMs)),
    firstPart: reached(alike.map(({ end }) => end.firstMs)),
    retries: sumOf(alike.map(({ trail }) => trail.filter(({ event }) => event === LogEvent.RequestRetried).length)) / alike.length,
  }
}

function reached (timesMs: readonly unknown[]): Reached {
  const known = timesMs.filter((timeMs) => typeof timeMs === 'number')
  return { requests: known.length, medianMs: percentile(known, MEDIAN) }
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
