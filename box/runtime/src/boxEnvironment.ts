import { type Settings } from '@reelspan/config.settings'
import { type PlatformReader } from '@reelspan/config.store'
import { type Clock, type Random } from '@reelspan/core.env'
import { type PeerLink } from '@reelspan/core.messages'
import { type Log } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type EngineClient, type RelayClient, type ServiceClient, type UpstreamProbe } from '@reelspan/upstream.client'

/** External dependencies of a box. With fakes, a box runs without network and real time. */
export interface BoxEnvironment {
  settings: Settings
  clock: Clock
  random: Random
  link: PeerLink
  platform: PlatformReader
  engines: EngineClient
  services: ServiceClient
  /** Sends relayed requests to upstreams. Without it, the box relays no requests. */
  relayClient?: RelayClient
  /** Checks whether an upstream still runs after it aborted an answer. */
  probe: UpstreamProbe
  log: Log
  metrics: Metrics
}
