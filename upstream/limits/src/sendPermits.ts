import { type Clock } from '@reelspan/core.env'
import { type SharedLimiter } from '@reelspan/membership.limits'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type Backoffs, type UpstreamStates } from '@reelspan/upstream.signals'
import { SendPermit, WaitReason } from './sendPermit.js'

export interface SendPermitsOptions {
  clock: Clock
  limits: UpstreamStates
  backoffs: Backoffs
  limiter: SharedLimiter
  metrics: Metrics
}

/** A permit may be given back meanwhile, so that a long wait is asked about again. */
const LONGEST_REFUSAL_MS = 1000

/** An upstream had no permit left. */
interface Refusal {
  /** The limit at that time. */
  perSecond: number
  /** When there is one, as far as is known. */
  dueAtMs: number
  /** Nobody is asked before. */
  askAgainAtMs: number
}

/** Permits to send upstreams requests. There is none while this box backs off, and without a limit no other box is asked. */
export class SendPermits {
  readonly #opts: SendPermitsOptions
  readonly #refusals = new Map<string, Refusal>()

  constructor (opts: SendPermitsOptions) {
    this.#opts = opts
  }

  /** A permit for one request, granted or not. */
  async take (upstream: string): Promise<SendPermit> {
    const { clock, limits, backoffs, limiter, metrics } = this.#opts
    const backoffMs = backoffs.remainingMs(upstream)
    if (backoffMs > 0) return new SendPermit({ wait: { reason: WaitReason.Backoff, durationMs: backoffMs } })
    const perSecond = limits.perSecond(upstream)
    if (perSecond === undefined) return new SendPermit()
    this.#forgetOld()
    const refusal = this.#refusals.get(upstream)
    if (refusal) return atLimit(refusal.dueAtMs - clock.nowMs())
    const taken = { name: upstream, cost: 1 }
    const waitMs = await limiter.take(taken)
    metrics.count('reelspan_limit_permits_total', { outcome: waitMs === 0 ? 'granted' : 'refused' })
    if (waitMs === 0) return new SendPermit({ onUnused: () => limiter.giveBack(taken) })
    const nowMs = clock.nowMs()
    this.#refusals.set(upstream, { perSecond, dueAtMs: nowMs + waitMs, askAgainAtMs: nowMs + Math.min(waitMs, LONGEST_REFUSAL_MS) })
    return atLimit(waitMs)
  }

  /** Refusals that were long enough ago, or under another limit. */
  #forgetOld (): void {
    const { clock, limits } = this.#opts
    const nowMs = clock.nowMs()
    const isOld = ([upstream, { perSecond, askAgainAtMs }]: [string, Refusal]) => nowMs >= askAgainAtMs || limits.perSecond(upstream) !== perSecond;
    [...this.#refusals].filter(isOld).forEach(([upstream]) => this.#refusals.delete(upstream))
  }
}

function atLimit (durationMs: number): SendPermit {
  return new SendPermit({ wait: { reason: WaitReason.RateLimit, durationMs } })
}
