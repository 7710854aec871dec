import { Verdict } from '@reelspan/core.error'
import { percentile } from '@reelspan/request.owner'
import { type LoadOutcome } from './runLoad.js'

export interface LatencyTargets {
  ttftMs: number
  tbtMs: number
}

export interface LoadSummary {
  sent: number
  finished: number
  refused: number
  mayHaveRun: number
  /** Finished answers that were incomplete or belonged to another request. Must be 0. */
  wrong: number
  /** Requests that met both latency targets, measured from their last attempt. */
  good: number
  /** Requests that met both latency targets on their first attempt. */
  goodOnFirstTry: number
  ttftP50Ms: number
  ttftP95Ms: number
  tbtP50Ms: number
  tbtP95Ms: number
  refusalP95Ms: number
  /** Requests that were retried at least once. */
  retried: number
  /** Requests that finished on their first retry. */
  finishedOnFirstRetry: number
}

/** Aggregates the outcomes observed by callers. */
export function summarize (outcomes: readonly LoadOutcome[], targets: LatencyTargets): LoadSummary {
  const finished = outcomes.filter(({ verdict }) => verdict === Verdict.Finished)
  const refused = outcomes.filter(({ verdict }) => verdict === Verdict.NotRun)
  const ttfts = finished.flatMap(({ ttftMs }) => ttftMs ?? [])
  const tbts = finished.flatMap(({ tbtMs }) => tbtMs)
  return {
    sent: outcomes.length,
    finished: finished.length,
    refused: refused.length,
    mayHaveRun: outcomes.length - finished.length - refused.length,
    wrong: finished.filter(({ correct }) => !correct).length,
    good: outcomes.filter((outcome) => meetsTargets(outcome, targets)).length,
    goodOnFirstTry: outcomes.filter((outcome) => outcome.returns === 0 && meetsTargets(outcome, targets)).length,
    ttftP50Ms: percentile(ttfts, 50),
    ttftP95Ms: percentile(ttfts, 95),
    tbtP50Ms: percentile(tbts, 50),
    tbtP95Ms: percentile(tbts, 95),
    retried: outcomes.filter(({ returns }) => returns >= 1).length,
    finishedOnFirstRetry: finished.filter(({ returns }) => returns === 1).length,
    refusalP95Ms: percentile(refused.map(({ endMs }) => endMs), 95),
  }
}

/** Whether a request finished with the correct answer, and its time to first token and its 95th percentile of time between tokens met the targets. */
export function meetsTargets ({ verdict, correct, ttftMs, tbtMs }: LoadOutcome, targets: LatencyTargets): boolean {
  return verdict === Verdict.Finished && correct && ttftMs !== undefined && ttftMs <= targets.ttftMs && percentile(tbtMs, 95) <= targets.tbtMs
}
