import { type Named, type RouteSpec } from '@reelspan/config.resources'
import { storeRevisionOf } from '@reelspan/config.store'
import { ErrorCode } from '@reelspan/core.error'
import { type RunContext } from '@reelspan/request.owner'
import { LogEvent, RateLimiter } from '@reelspan/telemetry.log'
import { type RelayedRequest } from '@reelspan/upstream.client'
import { type AnswerTimes } from './passAnswer.js'
import { promptHash } from './promptHash.js'
import { relayedKind } from './relayedKind.js'
import { type RelayOptions } from './relayOptions.js'

/** A relayed request that has ended. */
export interface EndedRequest {
  run: RunContext
  request: RelayedRequest
  route?: Named<RouteSpec>
  /** Name of the box that delegated the request to this one. */
  delegatedBy?: string
  times: AnswerTimes
}

/** Anyone can send requests without a route, at any rate. */
const UNROUTED_LINES_PER_SECOND = 5

/** Logs the ends of relayed requests and counts them. */
export class RelayedEndLog {
  readonly #opts: RelayOptions
  readonly #unroutedLineRate: RateLimiter

  constructor (opts: RelayOptions) {
    this.#opts = opts
    this.#unroutedLineRate = new RateLimiter({ nowMs: () => opts.clock.nowMs(), perSecond: UNROUTED_LINES_PER_SECOND })
  }

  record ({ run, request, route, delegatedBy, times }: EndedRequest): void {
    const { log, metrics, configuration, fleetRevision } = this.#opts
    const { final } = run.record
    const verdict = final?.verdict ?? 'none'
    metrics.count('reelspan_relayed_total', { verdict, code: final?.code ?? '' })
    if (times.firstMs !== undefined) metrics.recordMs('reelspan_ttft_ms', times.firstMs)
    if (final?.code === ErrorCode.NoRoute && !this.#unroutedLineRate.tryAcquire()) return
    const listed = storeRevisionOf(fleetRevision())
    log.info(LogEvent.RequestEnded, {
      request: request.id,
      route: route?.name,
      delegatedBy,
      promptHash: promptHash(request),
      resumesAttempt: request.resumesAttempt,
      resumeAfter: request.resumeAfter,
      kind: route && relayedKind(route.spec),
      ttftTargetMs: route?.spec.ttftTargetMs,
      tbtTargetMs: route?.spec.streaming ? route.spec.tbtTargetMs : undefined,
      verdict,
      code: final?.code,
      reason: final?.message,
      retryAfterMs: final?.retryAfterMs,
      revision: configuration().revision,
      fleetRevision: listed.revision,
      fleetEra: listed.era,
      durationMs: Math.round(run.elapsedMs),
      firstMs: times.firstMs && Math.round(times.firstMs),
      longestPauseMs: Math.round(times.longestPauseMs),
      lastSentMs: run.lastSentMs && Math.round(run.lastSentMs),
      status: times.status,
      parts: times.parts,
      restBytes: times.restBytes || undefined,
    })
  }
}
