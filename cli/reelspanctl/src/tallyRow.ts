import { percentile } from '@reelspan/request.owner'
import { LogEvent } from '@reelspan/telemetry.log'
import { type LogLine } from './readLogLines.js'
import { Outcome, type RequestEnd } from './requestEnd.js'

/** How many requests of a group reached a stage, and the median time from their arrival until then. */
export interface StageStats {
  requests: number
  medianMs: number
}

/** Requests with the same outcome and cause. */
export interface TallyRow {
  outcome: Outcome
  cause?: string
  requests: number
  share: number
  /** Like the fields below, set only for requests that were not served in time. */
  heldMs?: { median: number, mean: number, p99: number }
  placed?: StageStats
  sent?: StageStats
  firstPart?: StageStats
  /** Mean number of retries per request. */
  retries?: number
}

/** A request that has ended, with its log lines. */
export interface EndedRequest extends RequestEnd {
  end: LogLine
  trail: readonly LogLine[]
}

const P50 = 50
const P99 = 99

/** Summarizes requests with the same outcome and cause. */
export function tallyRow (group: readonly EndedRequest[], total: number): TallyRow {
  const [{ outcome, cause }] = group
  const row = { outcome, cause, requests: group.length, share: group.length / total }
  if (outcome === Outcome.ServedInTime || outcome === Outcome.Served) return row
  const latenciesMs = group.map(({ heldMs }) => heldMs)
  return {
    ...row,
    heldMs: { median: percentile(latenciesMs, P50), mean: Math.round(sumOf(latenciesMs) / latenciesMs.length), p99: percentile(latenciesMs, P99) },
    placed: stageStats(group.map(({ trail }) => trail.find(({ event }) => event === LogEvent.RequestPlaced)?.atMs)),
    sent: stageStats(group.map(({ end }) => end.lastSentMs)),
    firstPart: stageStats(group.map(({ end }) => end.firstMs)),
    retries: sumOf(group.map(({ trail }) => trail.filter(({ event }) => event === LogEvent.RequestRetried).length)) / group.length,
  }
}

function stageStats (timesMs: readonly unknown[]): StageStats {
  const reachedMs = timesMs.filter((timeMs) => typeof timeMs === 'number')
  return { requests: reachedMs.length, medianMs: percentile(reachedMs, P50) }
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
