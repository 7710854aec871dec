import { Verdict } from '@reelspan/core.error'
import { percentile } from '@reelspan/request.owner'
import { type LoadOutcome } from './runLoad.js'

export interface Targets {
  ttftMs: number
  tbtMs: number
}

export interface LoadSummary {
  sent: number
  finished: number
  refused: number
  mayHaveRun: number
  /** Finished answers that were not whole or not the caller's. Must be 0. */
  wrong: number
  /** Requests within both latency targets, counted from their last try. */
  good: number
  /** Those of them that were served on their first try. */
  goodAtFirst: number
  ttftP50Ms: number
  ttftP95Ms: number
  tbtP50Ms: number
  tbtP95Ms: number
  refusalP95Ms: number
  /** Requests that came back once when told to, and those of them that then finished. */
  returned: number
  returnedWell: number
}

/** Sums up what callers saw. */
export function summarize (outcomes: readonly LoadOutcome[], targets: Targets): LoadSummary {
  const finished = outcomes.filter(({ verdict }) => verdict === Verdict.Finished)
  const refused = outcomes.filter(({ verdict }) => verdict === Verdict.NotRun)
  const ttfts = finished.flatMap(({ ttftMs }) => ttftMs ?? [])
  const tbts = finished.flatMap(({ tbtMs }) => tbtMs)
  return {
    sent: outcomes.length,
    finished: finished.length,
    refused: refused.length,
    mayHaveRun: outcomes.length - finished.length - refused.length,
    wrong: finished.filter(({ whole }) => !whole).length,
    good: outcomes.filter((outcome) => isGood(outcome, targets)).length,
    goodAtFirst: outcomes.filter((outcome) => outcome.returns === 0 && isGood(outcome, targets)).length,
    ttftP50Ms: percentile(ttfts, 50),
    ttftP95Ms: percentile(ttfts, 95),
    tbtP50Ms: percentile(tbts, 50),
    tbtP95Ms: percentile(tbts, 95),
    returned: outcomes.filter(({ returns }) => returns >= 1).length,
    returnedWell: finished.filter(({ returns }) => returns === 1).length,
    refusalP95Ms: percentile(refused.map(({ endMs }) => endMs), 95),
  }
}

/** Whether a request ended well: whole, its first token in time, and 95 in 100 of its gaps between tokens too. */
export function isGood ({ verdict, whole, ttftMs, tbtMs }: LoadOutcome, targets: Targets): boolean {
  return verdict === Verdict.Finished && whole && ttftMs !== undefined && ttftMs <= targets.ttftMs && percentile(tbtMs, 95) <= targets.tbtMs
}
