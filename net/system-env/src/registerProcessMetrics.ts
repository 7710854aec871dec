import { type Metrics } from '@reelspan/telemetry.metrics'
import { type LoopDelay } from './loopDelay.js'

/** The counters of a link between boxes. */
export interface LinkCounters {
  readonly traffic: { readonly sentBytes: number, readonly receivedBytes: number }
  readonly openConnections: number
}

/** Registers the metrics of the process, as opposed to those of its box. */
export function registerProcessMetrics (metrics: Metrics, link: LinkCounters, loopDelay: LoopDelay): void {
  metrics.gauges('reelspan_loop_delay_ms', () => loopDelay.collectQuantiles().map(({ quantile, delayMs }) => ({ labels: { quantile: String(quantile) }, value: delayMs })))
  metrics.gauge('reelspan_peer_sent_bytes_total', () => link.traffic.sentBytes)
  metrics.gauge('reelspan_peer_received_bytes_total', () => link.traffic.receivedBytes)
  metrics.gauge('reelspan_peer_connections', () => link.openConnections)
}
