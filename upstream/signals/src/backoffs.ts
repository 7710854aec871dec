import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface BackoffsOptions {
  clock: Clock
  log: Log
}

/** Longer backoffs are capped, so that a wrong value does not exclude an upstream permanently. */
const MAX_BACKOFF_MS = 300_000

/** Upstreams that asked this box to back off. The request applies to this box only. */
export class Backoffs {
  readonly #opts: BackoffsOptions
  readonly #untilMs = new Map<string, number>()

  constructor (opts: BackoffsOptions) {
    this.#opts = opts
  }

  /** Number of upstreams that this box backs off from. */
  get count (): number {
    this.#expire()
    return this.#untilMs.size
  }

  /** Time until this box may send to an upstream again; 0 if it may send now. */
  remainingMs (upstream: string): number {
    return Math.max(0, (this.#untilMs.get(upstream) ?? 0) - this.#opts.clock.nowMs())
  }

  /** All upstreams that this box backs off from. */
  upstreams (): string[] {
    this.#expire()
    return [...this.#untilMs.keys()]
  }

  /** State for the dump. */
  all (): { upstream: string, remainingMs: number }[] {
    return this.upstreams().map((upstream) => ({ upstream, remainingMs: Math.round(this.remainingMs(upstream)) }))
  }

  /** Records a backoff requested by an upstream. Of overlapping backoffs the one that ends last applies. */
  start (upstream: string, durationMs: number): void {
    const { clock, log } = this.#opts
    const waitMs = Math.min(durationMs, MAX_BACKOFF_MS)
    if (waitMs <= this.remainingMs(upstream)) return
    this.#expire()
    this.#untilMs.set(upstream, clock.nowMs() + waitMs)
    const fields = { upstream, durationMs: Math.round(waitMs) }
    if (durationMs > MAX_BACKOFF_MS) log.warn(LogEvent.UpstreamBackoff, { ...fields, askedMs: Math.round(durationMs) })
    else log.info(LogEvent.UpstreamBackoff, fields)
  }

  #expire (): void {
    const nowMs = this.#opts.clock.nowMs();
    [...this.#untilMs].filter(([, untilMs]) => untilMs <= nowMs).forEach(([upstream]) => this.#untilMs.delete(upstream))
  }
}
