import { type Clock } from '@reelspan/core.env'
import { type SharedLimiter } from '@reelspan/membership.limits'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type Backoffs, type UpstreamStates } from '@reelspan/upstream.signals'
import { SendPermit, WaitReason } from './sendPermit.js'

export interface SendPermitsOptions {
  clock: Clock
  states: UpstreamStates
  backoffs: Backoffs
  limiter: SharedLimiter
  metrics: Metrics
}

/** Maximum time for which a refusal is cached: a permit may be released in the meantime. */
const MAX_REFUSAL_CACHE_MS = 1000

/** A cached refusal: the upstream had no permit left. */
interface Refusal {
  /** The limit at the time of the refusal. */
  perSecond: number
  /** When a permit is expected to be available. */
  availableAtMs: number
  /** The limiter is not asked again before this time. */
  recheckAtMs: number
}

/**
 * Grants permits to send requests to upstreams. While this box backs off from an upstream no permit is granted; for an
 * upstream without a limit a permit is granted without asking another box.
 */
export class SendPermits {
  readonly #opts: SendPermitsOptions
  readonly #refusals = new Map<string, Refusal>()

  constructor (opts: SendPermitsOptions) {
    this.#opts = opts
  }

  /** Requests a permit for one request. The permit may be refused. */
  async acquire (upstream: string): Promise<SendPermit> {
    const { clock, states, backoffs, limiter, metrics } = this.#opts
    const backoffMs = backoffs.remainingMs(upstream)
    if (backoffMs > 0) return new SendPermit({ wait: { reason: WaitReason.Backoff, durationMs: backoffMs } })
    const perSecond = states.perSecond(upstream)
    if (perSecond === undefined) return new SendPermit()
    this.#expireRefusals()
    const cachedRefusal = this.#refusals.get(upstream)
    if (cachedRefusal) return atLimit(cachedRefusal.availableAtMs - clock.nowMs())
    const permitCost = { name: upstream, cost: 1 }
    const waitMs = await limiter.acquire(permitCost)
    metrics.count('reelspan_limit_permits_total', { outcome: waitMs === 0 ? 'granted' : 'refused' })
    if (waitMs === 0) return new SendPermit({ onUnused: () => limiter.release(permitCost) })
    const nowMs = clock.nowMs()
    this.#refusals.set(upstream, { perSecond, availableAtMs: nowMs + waitMs, recheckAtMs: nowMs + Math.min(waitMs, MAX_REFUSAL_CACHE_MS) })
    return atLimit(waitMs)
  }

  /** Removes cached refusals that have expired or were made under a different limit. */
  #expireRefusals (): void {
    const { clock, states } = this.#opts
    const nowMs = clock.nowMs()
    const isExpired = ([upstream, { perSecond, recheckAtMs }]: [string, Refusal]) => nowMs >= recheckAtMs || states.perSecond(upstream) !== perSecond;
    [...this.#refusals].filter(isExpired).forEach(([upstream]) => this.#refusals.delete(upstream))
  }
}

function atLimit (durationMs: number): SendPermit {
  return new SendPermit({ wait: { reason: WaitReason.RateLimit, durationMs } })
}
