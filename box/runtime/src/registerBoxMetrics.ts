import { type LabelledValue } from '@reelspan/telemetry.metrics'
import { type BoxParts } from './boxParts.js'

/** Registers the gauges for a box's own state. */
export function registerBoxMetrics (parts: BoxParts): void {
  const { metrics, owner, upstreamPaths, delegators, delegatedRuns, log, cachedStateAges, quarantine, runHistory, freshnessProof, upstreamStates, backoffs, poolCoordinator } = parts
  metrics.gauge('reelspan_requests_in_flight', () => owner.inFlight)
  metrics.gauge('reelspan_log_lines_dropped_total', () => log.droppedLines)
  metrics.gauge('reelspan_requests_quarantined', () => quarantine.countQuarantined())
  metrics.gauge('reelspan_prompt_parts_suspected', () => quarantine.countParts().suspected)
  metrics.gauge('reelspan_prompt_parts_quarantined', () => quarantine.countParts().banned)
  metrics.gauge('reelspan_prompt_parts_cleared', () => quarantine.countParts().cleared)
  metrics.gauge('reelspan_run_events_known', () => runHistory.size)
  metrics.gauge('reelspan_upstream_paths_lost', () => Number(upstreamPaths.lost))
  metrics.gauge('reelspan_delegated_in_flight', () => Object.values(delegators).reduce((sum, { inFlight }) => sum + inFlight, 0))
  metrics.gauge('reelspan_delegated_runs', () => delegatedRuns.size)
  metrics.gauge('reelspan_upstreams_limited', () => upstreamStates.count)
  metrics.gauge('reelspan_upstreams_draining', () => upstreamStates.drainingCount)
  metrics.gauge('reelspan_upstreams_backing_off', () => backoffs.count)
  if (freshnessProof.isRequired) metrics.gauge('reelspan_accounts_proof_age_ms', () => freshnessProof.ageMs)
  metrics.gauges('reelspan_belief_age_ms', () => cachedStateAges.values())
  metrics.gauges('reelspan_pool_calls_waiting', () => poolCoordinator.describe().map(({ pool, waiting }) => ({ labels: { pool }, value: waiting })))
  metrics.gauges('reelspan_pool_calls_in_flight', () => poolUpstreams(parts).map(({ labels, inFlight }) => ({ labels, value: inFlight })))
  metrics.gauges('reelspan_pool_calls_limit', () => poolUpstreams(parts).map(({ labels, limit }) => ({ labels, value: limit })))
  metrics.gauges('reelspan_retry_budget_left', () => retryBudgets(parts))
}

/** Relayed requests have one retry budget per pool; owned requests share a single one. */
function retryBudgets ({ owner, relay }: BoxParts): LabelledValue[] {
  const relayed = relay?.describe().retryBudgets ?? []
  return [
    { labels: { requests: 'owned' }, value: owner.describe().retryBudgetLeft },
    ...relayed.map(({ pool, left }) => ({ labels: { requests: 'relayed', pool }, value: left })),
  ]
}

/** The upstreams of the pools that this box coordinates. */
function poolUpstreams ({ poolCoordinator }: BoxParts) {
  return poolCoordinator.describe().flatMap(({ pool, upstreams }) => upstreams.map(({ upstream, inFlight, limit }) => ({ labels: { pool, upstream }, inFlight, limit })))
}
