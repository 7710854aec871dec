import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type RelayContext } from './relayContext.js'
import { routedPathOf } from './routedPathOf.js'

/**
 * Throws `ERR_REELSPAN_STREAM_ORIGIN_UNKNOWN` if a stream that a client takes up at a service may have begun at another
 * service or model, to which its route leads as well, or has led lately.
 */
export function checkServiceOrigin ({ opts: { origins }, run, request, route: { spec }, callerDeadlineMs }: RelayContext, pool: string): void {
  if (!spec.resumable || request.resumeAfter === undefined) return
  const remainingMs = callerDeadlineMs === undefined ? 0 : callerDeadlineMs - run.elapsedMs
  const withinMs = Math.max(spec.deadlineMs, origins.deadlines.longestMs(pool) - remainingMs)
  const isSplit = (spec.targets?.length ?? 0) > 1
  if (!isSplit && !origins.mayHaveLedElsewhere(routedPathOf(request), pool, withinMs)) return
  throw new ReelspanError(ErrorCode.StreamOriginUnknown, `the stream may have begun at another service than ${pool}`, { retryFutile: true })
}
