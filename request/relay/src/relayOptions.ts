import { type BoxAdmission } from '@reelspan/accounts.admission'
import { type FleetList } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type Clock, type Random, type TaskErrorListener } from '@reelspan/core.env'
import { type BrokenRuns, type Quarantine } from '@reelspan/request.quarantine'
import { type Placer } from '@reelspan/scheduling.placer'
import { type Log } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type UpstreamReports } from '@reelspan/upstream.health'
import { type ReturnTimes, type SendPermits } from '@reelspan/upstream.limits'
import { type Backoffs, type SignalObserver, type UpstreamStates } from '@reelspan/upstream.signals'
import { type RelayClient } from '@reelspan/upstream.client'

export interface RelayOptions {
  clock: Clock
  random: Random
  upstreams: RelayClient
  placer: Placer
  /** Takes requests in for client accounts. */
  admission: BoxAdmission
  configuration: () => Configuration
  /** Resolves once this box has a configuration, or the signal is aborted. */
  configured: (signal: AbortSignal) => Promise<void>
  fleet: () => FleetList
  /** The order of the list that the fleet comes from, over all eras of the platform's store. */
  fleetRevision: () => number
  /** This box's present incarnation. */
  standing: () => { peerAddress: string, incarnation: string, availabilityZone: string }
  /** What boxes tell each other of upstreams that close connections without an answer. */
  upstreamReports: Pick<UpstreamReports, 'isFailing'>
  /** Takes in what responses advertise about their upstreams. */
  signals: SignalObserver
  /** What upstreams advertised of late, to any box. */
  upstreamStates: UpstreamStates
  /** Upstreams that asked this box to wait. */
  backoffs: Backoffs
  /** What it takes to send an upstream a request. */
  permits: SendPermits
  /** When callers come back that no upstream may be sent. */
  returnTimes: ReturnTimes
  /** An upstream closed a connection without an answer. */
  onClosedUnanswered: (upstream: string) => void
  /** Told of answers of upstreams that broke off. */
  brokenRuns: BrokenRuns
  /** Keeps requests from upstreams that have ended those that ran them. */
  quarantine: Quarantine
  /** Boxes that share the retry budget, this one included. */
  boxCount: () => number
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
  retriesPerRequest: number
  retryBurst: number
  log: Log
  metrics: Metrics
}
