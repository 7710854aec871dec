import { type FleetList } from '@reelspan/config.fleet'
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

/** A broken run whose upstream's process has ended. */
export interface EndedRun extends BrokenRun {
  /** When the run broke off. */
  brokeAtMs: number
}

export interface BrokenRunsOptions {
  clock: Clock
  probe: UpstreamProbe
  log: Log
  metrics: Metrics
  /** The list that this box acts by. */
  fleet: () => FleetList
  /** The upstream's process was found to have ended. */
  onUpstreamEnded: (run: EndedRun) => void
}

/** The list drops an upstream that ends after three signs of life have failed to come, some 4 s; it may be told late. */
const UNSURE_FOR_MS = 15_000
/** Runs of which it is not known whether their upstream has ended; the oldest give way. Four engines full of them. */
const MAX_UNSURE = 256

/**
 * Looks what became of upstreams whose answers broke off. A connection that is cut says
 * the same of an upstream that has ended as of one that goes on: only the former can
 * have ended because of the request. Where the upstream's address is silent, as behind
 * a cut, the list tells.
 */
export class BrokenRuns {
  readonly #opts: BrokenRunsOptions
  /** Looks under way, by address: all that ran on an upstream breaks off at once. */
  readonly #looks = new Map<string, Promise<UpstreamPresence>>()
  #unsure: EndedRun[] = []

  constructor (opts: BrokenRunsOptions) {
    this.#opts = opts
  }

  /** Resolves once it has been looked and told. Never throws. */
  async note (run: BrokenRun): Promise<void> {
    const broken = { ...run, brokeAtMs: this.#opts.clock.nowMs() }
    const presence = await this.#look(run.address)
    this.#tell(broken, presence)
    if (presence === UpstreamPresence.Refuses) this.#opts.onUpstreamEnded(broken)
    if (presence === UpstreamPresence.Silent) this.#unsure = [...this.#unsure, broken].slice(-MAX_UNSURE)
  }

  /** The list has changed: upstreams that are gone from it without having said that they leave have ended. */
  noteFleet (): void {
    const { clock, fleet, onUpstreamEnded } = this.#opts
    const list = fleet()
    const recent = this.#unsure.filter(({ brokeAtMs }) => brokeAtMs > clock.nowMs() - UNSURE_FOR_MS)
    this.#unsure = recent.filter(({ upstream }) => list.takesWork(upstream))
    recent.filter(({ upstream }) => list.upstream(upstream) === undefined).forEach((run) => onUpstreamEnded(run))
  }

  #tell ({ request, route, identity, upstream, reason, sentAtMs, brokeAtMs }: EndedRun, presence: UpstreamPresence): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_runs_broken_off_total', { presence })
    log.info(LogEvent.RunBrokeOff, { request, route, upstream, presence, ranMs: Math.round(brokeAtMs - sentAtMs), contentHash: identity.content, callerHash: identity.caller, reason })
  }

  #look (address: string): Promise<UpstreamPresence> {
    const known = this.#looks.get(address)
    if (known) return known
    const look = this.#opts.probe.look(address).finally(() => this.#looks.delete(address))
    this.#looks.set(address, look)
    return look
  }
}
