import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface BackoffsOptions {
  clock: Clock
  log: Log
}

/** The upstreams that asked this box, and no other, to send nothing for a while. */
export class Backoffs {
  readonly #opts: BackoffsOptions
  readonly #untilMs = new Map<string, number>()

  constructor (opts: BackoffsOptions) {
    this.#opts = opts
  }

  /** How many upstreams this box backs off from. */
  get count (): number {
    this.#expire()
    return this.#untilMs.size
  }

  /** Time until this box may send to an upstream again; 0 when it may now. */
  remainingMs (upstream: string): number {
    return Math.max(0, (this.#untilMs.get(upstream) ?? 0) - this.#opts.clock.nowMs())
  }

  /** Records a wait that an upstream asked for. Of several that overlap the last to end counts. */
  start (upstream: string, durationMs: number): void {
    const { clock, log } = this.#opts
    if (durationMs <= this.remainingMs(upstream)) return
    this.#expire()
    this.#untilMs.set(upstream, clock.nowMs() + durationMs)
    log.info(LogEvent.UpstreamBackoff, { upstream, durationMs: Math.round(durationMs) })
  }

  #expire (): void {
    const nowMs = this.#opts.clock.nowMs();
    [...this.#untilMs].filter(([, untilMs]) => untilMs <= nowMs).forEach(([upstream]) => this.#untilMs.delete(upstream))
  }
}
