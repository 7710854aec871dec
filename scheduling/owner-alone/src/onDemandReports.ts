import { type Clock, type Random } from '@reelspan/core.env'
import { type EngineClient, ReportStart, reportStart } from '@reelspan/upstream.client'
import { type DatedReport, type ReportedUpstream, ReportSource } from './reportSource.js'

export interface OnDemandReportsOptions {
  clock: Clock
  random: Random
  engines: EngineClient
  timeoutMs: number
  /** Engines asked for each placement, of each pool. */
  sampleSize: number
}

/** Asks a few random engines at the moment of placing. Costs nothing while it is not used. */
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
      // The client tells of a failure; an engine without a report is not chosen.
      const report = await engines.report(address, { timeoutMs }).catch(() => undefined)
      return report && reportStart(upstream, report) === ReportStart.Same ? [[name, { report, atMs: clock.nowMs() }] as const] : []
    }))
    return new Map(answers.flat())
  }
}
