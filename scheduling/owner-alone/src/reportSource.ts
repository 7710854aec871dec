import { type EngineReport } from '@reelspan/upstream.client'

/** A report and the time it was received, on this box's clock. */
export interface DatedReport {
  report: EngineReport
  atMs: number
}

/** An engine to get a report from. */
export interface ReportedUpstream {
  name: string
  address: string
  /** Start time of the listed process of the engine, if the list has it. */
  startedAtMs?: number
}

/** Source of engine reports for an owner that places without a scheduler. */
export abstract class ReportSource {
  /** Returns the reports of the engines that answered. */
  abstract reports (engines: readonly ReportedUpstream[]): Promise<Map<string, DatedReport>>
}
