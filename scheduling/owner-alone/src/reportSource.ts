import { type EngineReport } from '@reelspan/upstream.client'

/** A report and when it came, on this box's clock. */
export interface DatedReport {
  report: EngineReport
  atMs: number
}

/** Where an owner that places alone gets engine reports. */
export abstract class ReportSource {
  /** Reports of those engines that answered. */
  abstract reports (engines: readonly { name: string, address: string }[]): Promise<Map<string, DatedReport>>
}
