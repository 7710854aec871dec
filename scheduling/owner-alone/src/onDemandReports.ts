import { type Clock, type Random } from '@reelspan/core.env'
import { type EngineClient, ReportedStart, compareReportedStart } from '@reelspan/upstream.client'
import { type DatedReport, type ReportedUpstream, ReportSource } from './reportSource.js'

export interface OnDemandReportsOptions {
  clock: Clock
  random: Random
  engines: EngineClient
  timeoutMs: number
  /** Number of engines polled per placement and pool. */
  sampleSize: number
}

/** Polls a few random engines for each placement. It has no cost while it is not used. */
export class OnDemandReports extends ReportSource {
  readonly #opts: OnDemandReportsOptions

  constructor (opts: OnDemandReportsOptions) {
    super()
    this.#opts = opts
  }

  async reports (listed: readonly ReportedUpstream[]): Promise<Map<string, DatedReport>> {
    const { clock, random, engines, timeoutMs, sampleSize } = this.#opts
    const asked = random.sample(listed, sampleSize)
    const answers = await Promise.all(asked.map(async (upstream) => {
      const { name, address } = upstream
      // The client reports the failure; engines without a report are not picked.
      const report = await engines.report(address, { timeoutMs }).catch(() => undefined)
      return report && compareReportedStart(upstream, report) === ReportedStart.Same ? [[name, { report, atMs: clock.nowMs() }] as const] : []
    }))
    return new Map(answers.flat())
  }
}
