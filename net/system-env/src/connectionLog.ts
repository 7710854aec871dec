import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent, RateLimiter } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type ClientLimitListener } from './clientLimit.js'
import { type ConnectionGuard } from './connectionGuard.js'
import { type RequestsInProgress } from './requestsInProgress.js'

export interface ConnectionLogOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

/** Reports what happens to the connections of one server. */
export interface ServerConnectionLog {
  onFullChanged: (full: boolean, connections: number) => void
  onAcceptError: (error: Error) => void
  onClosed: ClientLimitListener
}

/** A small part of a box's log rate limit. */
const MAX_LINES_PER_SECOND = 5

/** Returns a function that creates the listeners of a server by its name. What a crowd of clients may cause is logged at a limited rate. */
export function connectionLog ({ clock, log, metrics }: ConnectionLogOptions): (server: string) => ServerConnectionLog {
  const rate = new RateLimiter({ nowMs: () => clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  return (server) => ({
    onFullChanged: (full, connections) => log.warn(LogEvent.ConnectionsFull, { server, full, connections }),
    onAcceptError: ({ message }) => log.warn(LogEvent.ListenerFailed, { server, reason: message }),
    onClosed: (limit, requests) => {
      metrics.count('reelspan_connections_closed_total', { server, limit })
      if (rate.tryAcquire()) log.warn(LogEvent.ConnectionClosed, { server, limit, requests })
    },
  })
}

/** Registers what callers' connections hold. */
export function registerCallerMetrics (metrics: Metrics, { inProgress, guard }: { inProgress: RequestsInProgress, guard: Pick<ConnectionGuard, 'connections'> }): void {
  metrics.gauge('reelspan_caller_connections', () => guard.connections)
  metrics.gauge('reelspan_caller_requests_ahead', () => inProgress.ahead)
  metrics.gauge('reelspan_caller_head_bytes', () => inProgress.headBytes)
}
