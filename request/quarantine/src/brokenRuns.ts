import { type Clock } from '@reelspan/core.env'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { UpstreamPresence, type UpstreamProbe } from '@reelspan/upstream.client'

/** A request that an upstream was sent, and whose answer broke off or did not come. */
export interface BrokenRun {
  /** Names the attempt. */
  request: string
  route: string
  identity: RequestIdentity
  upstream: string
  address: string
  /** When the upstream was sent the request. */
  sentAtMs: number
  reason: string
}

export interface BrokenRunsOptions {
  clock: Clock
  probe: UpstreamProbe
  log: Log
  metrics: Metrics
}

/**
 * Looks what became of upstreams whose answers broke off. A connection that is cut says
 * the same of an upstream that has ended as of one that goes on: only the former can
 * have ended because of the request.
 */
export class BrokenRuns {
  readonly #opts: BrokenRunsOptions
  /** Looks under way, by address: all that ran on an upstream breaks off at once. */
  readonly #looks = new Map<string, Promise<UpstreamPresence>>()

  constructor (opts: BrokenRunsOptions) {
    this.#opts = opts
  }

  /** Resolves once it has been looked and told. Never throws. */
  async note (run: BrokenRun): Promise<void> {
    const ranMs = Math.round(this.#opts.clock.nowMs() - run.sentAtMs)
    this.#tell(run, ranMs, await this.#look(run.address))
  }

  #tell ({ request, route, identity, upstream, reason }: BrokenRun, ranMs: number, presence: UpstreamPresence): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_runs_broken_off_total', { presence })
    log.info(LogEvent.RunBrokeOff, { request, route, upstream, presence, ranMs, contentHash: identity.content, callerHash: identity.caller, reason })
  }

  #look (address: string): Promise<UpstreamPresence> {
    const known = this.#looks.get(address)
    if (known) return known
    const look = this.#opts.probe.look(address).finally(() => this.#looks.delete(address))
    this.#looks.set(address, look)
    return look
  }
}
