import { type FleetList } from '@reelspan/config.fleet'
import { type Clock } from '@reelspan/core.env'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { UpstreamPresence, type UpstreamProbe } from '@reelspan/upstream.client'

/** A request that an upstream was sent, and whose answer broke off or did not come. */
export interface InterruptedRun {
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

/** A broken run whose upstream's process has ended. */
export interface UpstreamExitRun extends InterruptedRun {
  /** When the run broke off. */
  brokeAtMs: number
}

export interface InterruptedRunsOptions {
  clock: Clock
  probe: UpstreamProbe
  log: Log
  metrics: Metrics
  /** The list that this box acts by. */
  fleet: () => FleetList
  /** The upstream's process was found to have ended. */
  onUpstreamEnded: (run: UpstreamExitRun) => void
}

/** The list drops an upstream that ends after three signs of life have failed to come, some 4 s; it may be told late. */
const UNDETERMINED_TTL_MS = 15_000
/** Runs of which it is not known whether their upstream has ended; the oldest give way. Four engines full of them. */
const MAX_UNDETERMINED = 256

/**
 * Looks what became of upstreams whose answers broke off. A connection that is cut says
 * the same of an upstream that has ended as of one that goes on: only the former can
 * have ended because of the request. Where the upstream's address is silent, as behind
 * a cut, the list tells.
 */
export class InterruptedRuns {
  readonly #opts: InterruptedRunsOptions
  /** Looks under way, by address: all that ran on an upstream breaks off at once. */
  readonly #pendingChecks = new Map<string, Promise<UpstreamPresence>>()
  #undetermined: UpstreamExitRun[] = []

  constructor (opts: InterruptedRunsOptions) {
    this.#opts = opts
  }

  /** Resolves once it has been looked and told. Never throws. */
  async record (run: InterruptedRun): Promise<void> {
    const interrupted = { ...run, brokeAtMs: this.#opts.clock.nowMs() }
    const presence = await this.#checkUpstream(run.address)
    this.#report(interrupted, presence)
    if (presence === UpstreamPresence.Refuses) this.#opts.onUpstreamEnded(interrupted)
    if (presence === UpstreamPresence.Silent) this.#undetermined = [...this.#undetermined, interrupted].slice(-MAX_UNDETERMINED)
  }

  /** The list has changed: upstreams that are gone from it without having said that they leave have ended. */
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
