import { type Named, type RouteSpec } from '@reelspan/config.resources'
import { type RelayCaller } from '@reelspan/request.caller'
import { type Delegator } from '@reelspan/request.delegation'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type RetryBudget, type RunContext } from '@reelspan/request.owner'
import { type LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { type RelayedRequest } from '@reelspan/upstream.client'
import { type UpstreamHealth } from '@reelspan/upstream.health'
import { type RelayOptions, type RelayPaths } from './relayOptions.js'
import { type RunDurations } from './runDurations.js'
import { type TokenTimes } from './tokenTimes.js'
import { type UpstreamPicker } from './upstreamPicker.js'
import { type UpstreamSilence } from './upstreamSilence.js'

/** Dependencies and state of one relayed request. */
export interface RelayContext {
  opts: RelayOptions
  run: RunContext
  request: RelayedRequest
  /** Identity that the request shares with its caller's other attempts. */
  identity: () => RequestIdentity
  caller: RelayCaller
  route: Named<RouteSpec>
  /** How long the caller waits for the answer, counted from the request's arrival; undefined if it did not say, or to another box. Its route may hold it for a shorter time. */
  callerDeadlineMs?: number
  /** Model or pool that the request was assigned to. */
  target: string
  /** Urgency class; 0 is the most urgent. */
  urgency: number
  budget: RetryBudget
  /** Network paths to the kind of upstream that runs the request. */
  paths: RelayPaths
  delegator: Delegator
  health: UpstreamHealth
  picker: UpstreamPicker
  /** Upstreams that owe answers and send nothing. */
  silence: UpstreamSilence
  /** Aborted when the box stops. */
  stopSignal: AbortSignal
  tokenTimes: TokenTimes
  /** Durations of answered calls to services, by route and pool. */
  callDurations: RunDurations
  /** Whether another box may run the request. False for one that this box runs for another. */
  mayDelegate: boolean
  /** Called when the request is sent to an upstream that may run it. */
  onSent?: (upstream: string, softwareVersion: string) => void
  /** Logs a decision about this request. */
  logDecision: (event: LogEvent, fields: LogFields) => void
}
