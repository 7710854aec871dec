import { type BoxAdmission } from '@reelspan/accounts.admission'
import { type FleetList, type UpstreamKind } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type Clock, type Random, type TaskErrorListener } from '@reelspan/core.env'
import { type Delegator } from '@reelspan/request.delegation'
import { type StreamOrigins } from '@reelspan/request.stream-origins'
import { type RunEnds, type Quarantine } from '@reelspan/request.quarantine'
import { type Placer } from '@reelspan/scheduling.placer'
import { type PoolSlots } from '@reelspan/scheduling.pool-admission'
import { type Log } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type UpstreamFailureReports } from '@reelspan/upstream.health'
import { type UpstreamPaths } from '@reelspan/upstream.paths'
import { type RetryTimes, type SendPermits } from '@reelspan/upstream.limits'
import { type Backoffs, type SignalObserver, type UpstreamStates } from '@reelspan/upstream.signals'
import { type RelayClient } from '@reelspan/upstream.client'

export type RelayPaths = Pick<UpstreamPaths, 'lost' | 'lastReceivedMs' | 'trackRequest' | 'recordFailure' | 'judge' | 'waitUntilLost'>

export interface RelayOptions {
  clock: Clock
  random: Random
  upstreams: RelayClient
  placer: Placer
  /** Admits requests on behalf of client accounts. */
  admission: BoxAdmission
  configuration: () => Configuration
  /** Resolves once this box has a configuration or the signal is aborted. */
  whenConfigured: (signal: AbortSignal) => Promise<void>
  fleet: () => FleetList
  /** Revision of the upstream list, ordered across all eras of the platform's store. */
  fleetRevision: () => number
  /** Present peer address, incarnation and zone of this box. */
  self: () => { peerAddress: string, incarnation: string, availabilityZone: string }
  /** Reports of all boxes about upstreams that close connections without an answer. */
  upstreamReports: Pick<UpstreamFailureReports, 'isFailing'>
  /** Whether this box has network paths to the upstreams of a kind. */
  paths: Record<UpstreamKind, RelayPaths>
  /** Knows or finds out which software version began a stream. */
  origins: Pick<StreamOrigins, 'record' | 'find' | 'deadlines' | 'mayHaveLedElsewhere'>
  /** Have requests run by other boxes while this one cannot reach any upstream of the kind that they need. */
  delegators: Record<UpstreamKind, Delegator>
  /** Processes the rate limits and backoffs that responses advertise. */
  signals: SignalObserver
  /** Latest state that upstreams advertised to any box. */
  upstreamStates: UpstreamStates
  /** Upstreams that asked this box to back off. */
  backoffs: Backoffs
  /** Grants the permits that are required to send requests to upstreams. */
  permits: SendPermits
  /** Grants slots at the upstreams of service pools that are short of capacity. */
  pools: PoolSlots
  /** Assigns retry times to callers whose requests are refused because of upstream limits. */
  retryTimes: RetryTimes
  /** Called when an upstream closes a connection without an answer. */
  onClosedUnanswered: (upstream: string) => void
  /** Records answers of upstreams that were interrupted. */
  runEnds: RunEnds
  /** Blocks requests that have repeatedly made upstreams exit. */
  quarantine: Quarantine
  /** Number of boxes that share the retry budget, including this one. */
  boxCount: () => number
  /** Called when a background task ends with an unexpected error. */
  onTaskError?: TaskErrorListener
  retriesPerRequest: number
  retryBurst: number
  log: Log
  metrics: Metrics
}
