import { type EngineReport } from './engineReport.js'

/** Which start of an engine a report tells of, beside the start that was asked for. */
export enum ReportStart {
  Same = 'same',
  /** The report comes late, from a start that is over. */
  Older = 'older',
  /** The start that was asked for is over. */
  Newer = 'newer',
}

/** Tells which start of an engine a report is of. Where either side says nothing of its start, it is taken for the same. */
export function reportStart (asked: { startedAtMs?: number }, report: Pick<EngineReport, 'startedAtMs'>): ReportStart {
  const { startedAtMs: askedMs } = asked
  const { startedAtMs: reportedMs } = report
  if (askedMs === undefined || reportedMs === undefined || askedMs === reportedMs) return ReportStart.Same
  return reportedMs < askedMs ? ReportStart.Older : ReportStart.Newer
}
