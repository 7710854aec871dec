import { type Clock } from '@reelspan/core.env'
import { UpstreamOutcome } from '@reelspan/core.messages'

/** Why and for how long an upstream is suspected. */
export interface Suspicion {
  forMs: number
  failureShare: number
  /** The last outcome, after which the suspicion began. */
  cause: UpstreamOutcome
  /** Peer address of the box that reported that outcome; undefined if this box observed it. */
  reportedBy?: string
}

export interface UpstreamHealthOptions {
  clock: Clock
  onSuspected?: (upstream: string, suspicion: Suspicion) => void
  onTrusted?: (upstream: string) => void
}

export interface OutcomeOptions {
  /** Peer address of the box that reported the outcome; undefined if this box observed it. */
  reportedBy?: string
  /** Whether the upstream is unreachable because it sent nothing, though no connection failed. */
  silent?: boolean
  /** Whether the outcome alone is a reason to suspect the upstream. */
  conclusive?: boolean
}

interface OutcomeStats {
  /** Exponentially weighted sum of recent failures. */
  weightedFailures: number
  /** The same sum with every outcome counted as a failure. */
  totalWeight: number
  outcomes: number
  suspectUntilMs: number
  suspectForMs: number
  /** Whether the upstream is suspected only because it sent nothing. */
  fromSilence: boolean
}

/** EWMA weight of one outcome in the failure share: about the last ten outcomes count. */
const SMOOTHING = 0.1
/** Outcomes needed before the failure share is considered. */
const MIN_OUTCOMES = 4
/** An upstream is suspected when its failure share exceeds the lowest of its pool by this margin. Some services normally fail a tenth of their requests. */
const FAILURE_MARGIN = 0.3
/** Doubled on each suspicion: a transient fault costs little capacity, a lasting one few requests. */
const INITIAL_SUSPICION_MS = 1000
const MAX_SUSPICION_MS = 8000

/** Tracks recent outcomes of upstreams and suspects those that fail. Suspicion is a reason to prefer other upstreams; it does not prove a failure. */
export class UpstreamHealth {
  readonly #opts: UpstreamHealthOptions
  readonly #stats = new Map<string, OutcomeStats>()

  constructor (opts: UpstreamHealthOptions) {
    this.#opts = opts
  }

  record (upstream: string, outcome: UpstreamOutcome, pool: readonly string[], opts: OutcomeOptions = {}): void {
    const stats = this.#statsOf(upstream)
    const failed = outcome === UpstreamOutcome.Answered ? 0 : 1
    stats.weightedFailures += SMOOTHING * (failed - stats.weightedFailures)
    stats.totalWeight += SMOOTHING * (1 - stats.totalWeight)
    stats.outcomes++
    if (outcome === UpstreamOutcome.Answered) this.#endSuspicion(upstream, stats)
    else if (outcome === UpstreamOutcome.Unreachable || opts.conclusive || this.#failsMoreThanPool(upstream, stats, pool)) this.#suspect(upstream, stats, outcome, opts)
  }

  /** Called when something was received from an upstream. Ends a suspicion that came from its silence. */
  recordReceived (upstream: string): void {
    const stats = this.#stats.get(upstream)
    if (!stats?.fromSilence) return
    stats.fromSilence = false
    stats.suspectUntilMs = this.#opts.clock.nowMs()
    this.#endSuspicion(upstream, stats)
  }

  isSuspect (upstream: string): boolean {
    const stats = this.#stats.get(upstream)
    return stats !== undefined && stats.suspectUntilMs > this.#opts.clock.nowMs()
  }

  /** All upstreams that are suspected now. */
  suspects (): string[] {
    return [...this.#stats.keys()].filter((upstream) => this.isSuspect(upstream))
  }

  /** Forgets the outcomes of all others. */
  retain (upstreams: ReadonlySet<string>): void {
    [...this.#stats.keys()].filter((upstream) => !upstreams.has(upstream)).forEach((upstream) => this.#stats.delete(upstream))
  }

  /** State for the dump. */
  describe () {
    const nowMs = this.#opts.clock.nowMs()
    return [...this.#stats].map(([upstream, stats]) => ({
      upstream,
      failureShare: Number(failureShare(stats).toFixed(2)),
      suspectForMs: Math.max(0, Math.round(stats.suspectUntilMs - nowMs)),
    }))
  }

  #failsMoreThanPool (upstream: string, stats: OutcomeStats, pool: readonly string[]): boolean {
    const others = pool.filter((name) => name !== upstream).map((name) => failureShare(this.#stats.get(name)))
    return stats.outcomes >= MIN_OUTCOMES && failureShare(stats) > FAILURE_MARGIN + Math.min(...others, 1)
  }

  #suspect (upstream: string, stats: OutcomeStats, cause: UpstreamOutcome, { reportedBy, silent = false }: OutcomeOptions): void {
    const nowMs = this.#opts.clock.nowMs()
    const isSuspected = stats.suspectUntilMs > nowMs
    stats.fromSilence = silent && (!isSuspected || stats.fromSilence)
    if (isSuspected) return
    stats.suspectForMs = Math.min(MAX_SUSPICION_MS, Math.max(INITIAL_SUSPICION_MS, 2 * stats.suspectForMs))
    stats.suspectUntilMs = nowMs + stats.suspectForMs
    this.#opts.onSuspected?.(upstream, { forMs: stats.suspectForMs, failureShare: failureShare(stats), cause, reportedBy })
  }

  #endSuspicion (upstream: string, stats: OutcomeStats): void {
    if (stats.suspectForMs === 0 || stats.suspectUntilMs > this.#opts.clock.nowMs()) return
    stats.suspectForMs = 0
    this.#opts.onTrusted?.(upstream)
  }

  #statsOf (upstream: string): OutcomeStats {
    const known = this.#stats.get(upstream)
    if (known) return known
    const stats = { weightedFailures: 0, totalWeight: 0, outcomes: 0, suspectUntilMs: 0, suspectForMs: 0, fromSilence: false }
    this.#stats.set(upstream, stats)
    return stats
  }
}

/** Share of recent outcomes that were failures. One extra success is assumed, since the first outcomes have little significance. */
function failureShare (stats?: OutcomeStats): number {
  return stats ? stats.weightedFailures / (stats.totalWeight + SMOOTHING) : 0
}
