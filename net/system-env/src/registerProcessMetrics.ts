import { type Metrics } from '@reelspan/telemetry.metrics'
import { type LoopDelay } from './loopDelay.js'

/** What a link between boxes counts. */
export interface CountedLink {
  readonly traffic: { readonly sentBytes: number, readonly receivedBytes: number }
  readonly openConnections: number
}

/** Registers the metrics that belong to a process rather than to the box in it. */
export function registerProcessMetrics (metrics: Metrics, link: CountedLink, loopDelay: LoopDelay): void {
  metrics.gauges('reelspan_loop_delay_ms', () => loopDelay.take().map(({ quantile, delayMs }) => ({ labels: { quantile: String(quantile) }, value: delayMs })))
  metrics.gauge('reelspan_peer_sent_bytes_total', () => link.traffic.sentBytes)
  metrics.gauge('reelspan_peer_received_bytes_total', () => link.traffic.receivedBytes)
  metrics.gauge('reelspan_peer_connections', () => link.openConnections)
}
