import { type EngineReport } from '@reelspan/upstream.client'

/** A report and when it came, on this box's clock. */
export interface DatedReport {
  report: EngineReport
  atMs: number
}

/** An engine that is asked for its report. */
export interface ReportedUpstream {
  name: string
  address: string
  /** When the start of it that is asked began, where the list tells. */
  startedAtMs?: number
}

/** Where an owner that places alone gets engine reports. */
export abstract class ReportSource {
  /** Reports of those engines that answered. */
  abstract reports (engines: readonly ReportedUpstream[]): Promise<Map<string, DatedReport>>
}
