import { type Clock } from '@reelspan/core.env'
import { UpstreamOutcome } from '@reelspan/core.messages'

export interface UpstreamHealthOptions {
  clock: Clock
  onSuspected?: (upstream: string, forMs: number, failureShare: number) => void
  onTrusted?: (upstream: string) => void
}

interface Standing {
  /** Weighted sum of late failures. */
  failures: number
  /** The same sum if each outcome had been a failure. */
  weight: number
  outcomes: number
  suspectUntilMs: number
  suspectForMs: number
}

/** Weight of one outcome in the share of failures: some ten outcomes are remembered. */
const SMOOTHING = 0.1
/** Outcomes before the share is believed. */
const FEWEST_OUTCOMES = 4
/** An upstream fails when it does so this much more often than the best of its pool. Some services fail a tenth of their requests by nature. */
const FAILURE_MARGIN = 0.3
/** Doubled each time: a passing fault costs little capacity, a lasting one few requests. */
const FIRST_SUSPICION_MS = 1000
const LONGEST_SUSPICION_MS = 8000

/** What was seen of upstreams' failures of late. Suspicion is a reason to go elsewhere, not a proof. */
export class UpstreamHealth {
  readonly #opts: UpstreamHealthOptions
  readonly #standings = new Map<string, Standing>()

  constructor (opts: UpstreamHealthOptions) {
    this.#opts = opts
  }

  note (upstream: string, outcome: UpstreamOutcome, pool: readonly string[]): void {
    const standing = this.#standing(upstream)
    const failed = outcome === UpstreamOutcome.Answered ? 0 : 1
    standing.failures += SMOOTHING * (failed - standing.failures)
    standing.weight += SMOOTHING * (1 - standing.weight)
    standing.outcomes++
    if (outcome === UpstreamOutcome.Answered) this.#trust(upstream, standing)
    else if (outcome === UpstreamOutcome.Unreachable || this.#failsMore(upstream, standing, pool)) this.#suspect(upstream, standing)
  }

  isSuspect (upstream: string): boolean {
    const standing = this.#standings.get(upstream)
    return standing !== undefined && standing.suspectUntilMs > this.#opts.clock.nowMs()
  }

  /** All that are suspected now. */
  suspects (): string[] {
    return [...this.#standings.keys()].filter((upstream) => this.isSuspect(upstream))
  }

  /** Forgets upstreams that are listed no more. */
  retain (listed: ReadonlySet<string>): void {
    [...this.#standings.keys()].filter((upstream) => !listed.has(upstream)).forEach((upstream) => this.#standings.delete(upstream))
  }

  /** State for the dump. */
  describe () {
    const nowMs = this.#opts.clock.nowMs()
    return [...this.#standings].map(([upstream, standing]) => ({
      upstream,
      failureShare: Number(failureShare(standing).toFixed(2)),
      suspectForMs: Math.max(0, Math.round(standing.suspectUntilMs - nowMs)),
    }))
  }

  #failsMore (upstream: string, standing: Standing, pool: readonly string[]): boolean {
    const others = pool.filter((name) => name !== upstream).map((name) => failureShare(this.#standings.get(name)))
    return standing.outcomes >= FEWEST_OUTCOMES && failureShare(standing) > FAILURE_MARGIN + Math.min(...others, 1)
  }

  #suspect (upstream: string, standing: Standing): void {
    const nowMs = this.#opts.clock.nowMs()
    if (standing.suspectUntilMs > nowMs) return
    standing.suspectForMs = Math.min(LONGEST_SUSPICION_MS, Math.max(FIRST_SUSPICION_MS, 2 * standing.suspectForMs))
    standing.suspectUntilMs = nowMs + standing.suspectForMs
    this.#opts.onSuspected?.(upstream, standing.suspectForMs, failureShare(standing))
  }

  #trust (upstream: string, standing: Standing): void {
    if (standing.suspectForMs === 0 || standing.suspectUntilMs > this.#opts.clock.nowMs()) return
    standing.suspectForMs = 0
    this.#opts.onTrusted?.(upstream)
  }

  #standing (upstream: string): Standing {
    const known = this.#standings.get(upstream)
    if (known) return known
    const standing = { failures: 0, weight: 0, outcomes: 0, suspectUntilMs: 0, suspectForMs: 0 }
    this.#standings.set(upstream, standing)
    return standing
  }
}

/** Part of late outcomes that were failures, as if one more had been none: the first ones prove little. */
function failureShare (standing?: Standing): number {
  return standing ? standing.failures / (standing.weight + SMOOTHING) : 0
}
