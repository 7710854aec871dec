import { type EngineReport } from './engineReport.js'

/** The process start that a report comes from, relative to the expected one. */
export enum ReportedStart {
  Same = 'same',
  /** The report is late: it comes from a process that has since been replaced. */
  Older = 'older',
  /** The expected process has been replaced by a newer one. */
  Newer = 'newer',
}

/** Compares the engine start of a report with the expected one. If either is unknown, they are assumed to be the same. */
export function compareReportedStart (expected: { startedAtMs?: number }, report: Pick<EngineReport, 'startedAtMs'>): ReportedStart {
  const { startedAtMs: expectedMs } = expected
  const { startedAtMs: reportedMs } = report
  if (expectedMs === undefined || reportedMs === undefined || expectedMs === reportedMs) return ReportedStart.Same
  return reportedMs < expectedMs ? ReportedStart.Older : ReportedStart.Newer
}
