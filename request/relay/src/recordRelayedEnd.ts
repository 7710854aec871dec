import { type Named, type RouteSpec } from '@reelspan/config.resources'
import { storeRevisionOf } from '@reelspan/config.store'
import { type RunContext } from '@reelspan/request.owner'
import { LogEvent } from '@reelspan/telemetry.log'
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

/** Logs the end of a relayed request and counts it. */
export function recordRelayedEnd ({ log, metrics, configuration, fleetRevision }: RelayOptions, { run, request, route, delegatedBy, times }: EndedRequest): void {
  const { final } = run.record
  const verdict = final?.verdict ?? 'none'
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
  metrics.count('reelspan_relayed_total', { verdict, code: final?.code ?? '' })
  if (times.firstMs !== undefined) metrics.recordMs('reelspan_ttft_ms', times.firstMs)
}
