import { type Clock } from '@reelspan/core.env'
import { type SharedLimiter } from '@reelspan/membership.limits'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { SendPermit } from './sendPermit.js'
import { type StatedLimits } from './statedLimits.js'

export interface SendPermitsOptions {
  clock: Clock
  limits: StatedLimits
  limiter: SharedLimiter
  metrics: Metrics
}

/** A limit may be raised meanwhile, or a permit given back. */
const LONGEST_REFUSAL_MS = 1000

/** Permits to send upstreams requests. Upstreams that name no limit need none. */
export class SendPermits {
  readonly #opts: SendPermitsOptions
  /** Until when an upstream is known to have no permit left, and under which limit. */
  readonly #refused = new Map<string, { untilMs: number, perSecond: number }>()

  constructor (opts: SendPermitsOptions) {
    this.#opts = opts
  }

  /** A permit for one request, granted or not. */
  async take (upstream: string): Promise<SendPermit> {
    const { clock, limits, limiter, metrics } = this.#opts
    const perSecond = limits.perSecond(upstream)
    if (perSecond === undefined) return new SendPermit(0)
    const knownMs = this.waitMs(upstream)
    if (knownMs > 0) return new SendPermit(knownMs)
    const taken = { name: upstream, cost: 1 }
    const waitMs = await limiter.take(taken)
    metrics.count('reelspan_limit_permits_total', { outcome: waitMs === 0 ? 'granted' : 'refused' })
    if (waitMs > 0) this.#refused.set(upstream, { untilMs: clock.nowMs() + Math.min(waitMs, LONGEST_REFUSAL_MS), perSecond })
    return new SendPermit(waitMs, () => limiter.giveBack(taken))
  }

  /** How long an upstream is known to have no permit; 0 when it may have one. */
  waitMs (upstream: string): number {
    const { clock, limits } = this.#opts
    const refused = this.#refused.get(upstream)
    if (!refused) return 0
    const leftMs = refused.untilMs - clock.nowMs()
    if (leftMs > 0 && limits.perSecond(upstream) === refused.perSecond) return leftMs
    this.#refused.delete(upstream)
    return 0
  }
}
