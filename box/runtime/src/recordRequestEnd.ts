import { type RequestRecord } from '@reelspan/request.records'
import { type RoutedRequest } from '@reelspan/core.messages'
import { type RequestTimings } from '@reelspan/request.owner'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'

export interface RecordRequestEndOptions {
  log: Log
  metrics: Metrics
  revision: number
}

/** Logs a finished request and records its metrics. Neither contains its prompt, tokens or body. */
export function recordRequestEnd ({ log, metrics, revision }: RecordRequestEndOptions, record: RequestRecord, request: RoutedRequest, timings: RequestTimings): void {
  const { final } = record
  const verdict = final?.verdict ?? 'none'
  log.info(LogEvent.RequestEnded, {
    key: request.key,
    route: request.route,
    client: request.client,
    verdict,
    code: final?.code,
    reason: final?.message,
    revision,
    ttftMs: timings.ttftMs && Math.round(timings.ttftMs),
    events: final?.eventCount,
  })
  metrics.count('reelspan_requests_total', { route: request.route, verdict, code: final?.code ?? '' })
  metrics.count('reelspan_prefilled_tokens_total', {}, timings.prefilledTokens)
  metrics.count('reelspan_wasted_prefill_tokens_total', {}, timings.wastedPrefillTokens)
  if (timings.ttftMs !== undefined) metrics.recordMs('reelspan_ttft_ms', timings.ttftMs, { route: request.route })
  timings.tbtMs.forEach((tbtMs) => metrics.recordMs('reelspan_tbt_ms', tbtMs, { route: request.route }))
}
