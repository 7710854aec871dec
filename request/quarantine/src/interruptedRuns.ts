import { type FleetList } from '@reelspan/config.fleet'
import { type Clock } from '@reelspan/core.env'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { UpstreamPresence, type UpstreamProbe } from '@reelspan/upstream.client'

/** A request that was sent to an upstream and whose answer was interrupted or did not arrive. */
export interface InterruptedRun {
  /** Id of the attempt. */
  request: string
  route: string
  identity: RequestIdentity
  upstream: string
  address: string
  /** When the request was sent to the upstream. */
  sentAtMs: number
  reason: string
}

/** An interrupted run with the time of its interruption. Passed on once its upstream's process is found to have exited. */
export interface UpstreamExitRun extends InterruptedRun {
  /** When the run was interrupted. */
  brokeAtMs: number
}

export interface InterruptedRunsOptions {
  clock: Clock
  probe: UpstreamProbe
  log: Log
  metrics: Metrics
  /** The list of upstreams in force at this box. */
  fleet: () => FleetList
  /** Called when the upstream's process is found to have exited. */
  onUpstreamEnded: (run: UpstreamExitRun) => void
}

/** The list removes an exited upstream after three missed heartbeats, some 4 s; the rest allows for late updates. */
const UNDETERMINED_TTL_MS = 15_000
/** Bound on runs whose upstream's state is unknown; the oldest are dropped first. Covers four engines with all slots in use. */
const MAX_UNDETERMINED = 256

/**
 * Finds out whether upstreams whose answers were interrupted have exited. An interrupted
 * connection looks the same for an exited upstream as for a running one, but only an upstream
 * that exited can have done so because of the request. If the upstream's address does not
 * respond, as during a network partition, the list of upstreams decides.
 */
export class InterruptedRuns {
  readonly #opts: InterruptedRunsOptions
  /** Checks in flight by address, since all runs of an upstream are interrupted at the same time. */
  readonly #pendingChecks = new Map<string, Promise<UpstreamPresence>>()
  #undetermined: UpstreamExitRun[] = []

  constructor (opts: InterruptedRunsOptions) {
    this.#opts = opts
  }

  /** Checks the upstream and logs the result. Never rejects. */
  async record (run: InterruptedRun): Promise<void> {
    const interrupted: UpstreamExitRun = { ...run, brokeAtMs: this.#opts.clock.nowMs() }
    const presence = await this.#checkUpstream(run.address)
    this.#report(interrupted, presence)
    if (presence === UpstreamPresence.Refuses) this.#opts.onUpstreamEnded(interrupted)
    if (presence === UpstreamPresence.Silent) this.#undetermined = [...this.#undetermined, interrupted].slice(-MAX_UNDETERMINED)
  }

  /** Called when the list changes: upstreams that were removed from it without draining first have exited. */
  noteFleet (): void {
    const { clock, fleet, onUpstreamEnded } = this.#opts
    const list = fleet()
    const recent = this.#undetermined.filter(({ brokeAtMs }) => brokeAtMs > clock.nowMs() - UNDETERMINED_TTL_MS)
    this.#undetermined = recent.filter(({ upstream }) => list.takesWork(upstream))
    recent.filter(({ upstream }) => list.upstream(upstream) === undefined).forEach((run) => onUpstreamEnded(run))
  }

  #report ({ request, route, identity, upstream, reason, sentAtMs, brokeAtMs }: UpstreamExitRun, presence: UpstreamPresence): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_runs_broken_off_total', { presence })
    log.info(LogEvent.RunBrokeOff, { request, route, upstream, presence, ranMs: Math.round(brokeAtMs - sentAtMs), contentHash: identity.content, callerHash: identity.caller, reason })
  }

  #checkUpstream (address: string): Promise<UpstreamPresence> {
    const pending = this.#pendingChecks.get(address)
    if (pending) return pending
    const check = this.#opts.probe.look(address).finally(() => this.#pendingChecks.delete(address))
    this.#pendingChecks.set(address, check)
    return check
  }
}
