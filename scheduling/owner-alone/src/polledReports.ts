import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type EngineClient, ReportedStart, compareReportedStart } from '@reelspan/upstream.client'
import { type DatedReport, type ReportedUpstream, ReportSource } from './reportSource.js'

export interface PolledReportsOptions {
  clock: Clock
  engines: EngineClient
  listed: () => readonly ReportedUpstream[]
  periodMs: number
  /** Called when a task ends with an unexpected error. */
  onTaskError?: TaskErrorListener
}

/** Polls all engines periodically. Reports are as old as the last poll, plus the delay of the engines' own reporting. */
export class PolledReports extends ReportSource {
  readonly #opts: PolledReportsOptions
  readonly #tasks: TaskGroup
  readonly #latest = new Map<string, DatedReport>()

  constructor (opts: PolledReportsOptions) {
    super()
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#tasks.repeat(() => this.#poll(), { periodMs: opts.periodMs })
  }

  async reports (): Promise<Map<string, DatedReport>> {
    return this.#latest
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #poll (): Promise<void> {
    const { clock, engines, listed, periodMs } = this.#opts
    await Promise.all(listed().map(async (upstream) => {
      const { name, address } = upstream
      // The client reports the failure. An engine that did not answer has no report until the next poll.
      const report = await engines.report(address, { timeoutMs: periodMs }).catch(() => undefined)
      if (report && compareReportedStart(upstream, report) === ReportedStart.Same) this.#latest.set(name, { report, atMs: clock.nowMs() })
      else this.#latest.delete(name)
    }))
  }
}
