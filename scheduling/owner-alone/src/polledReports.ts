import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type EngineClient, ReportStart, reportStart } from '@reelspan/upstream.client'
import { type DatedReport, type ReportedUpstream, ReportSource } from './reportSource.js'

export interface PolledReportsOptions {
  clock: Clock
  engines: EngineClient
  listed: () => readonly ReportedUpstream[]
  periodMs: number
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

/** Asks every engine now and then. What it answers is as old as the last pass, and lags as the engines' word does. */
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
      // The client tells of a failure; the report before stays, and its age with it.
      const report = await engines.report(address, { timeoutMs: periodMs }).catch(() => undefined)
      if (report && reportStart(upstream, report) === ReportStart.Same) this.#latest.set(name, { report, atMs: clock.nowMs() })
      else this.#latest.delete(name)
    }))
  }
}
