import { type Settings } from '@reelspan/config.settings'
import { type PlatformReader } from '@reelspan/config.store'
import { type Clock, type Random } from '@reelspan/core.env'
import { type PeerLink } from '@reelspan/core.messages'
import { type Log } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type EngineClient, type RelayClient, type ServiceClient, type UpstreamProbe } from '@reelspan/upstream.client'

/** Everything that a box gets from outside. With fakes in its place, a box runs without network and real time. */
export interface BoxEnvironment {
  settings: Settings
  clock: Clock
  random: Random
  link: PeerLink
  platform: PlatformReader
  engines: EngineClient
  services: ServiceClient
  /** For requests that are relayed as they are. Without it, there are none. */
  relayClient?: RelayClient
  /** Looks whether upstreams whose answers broke off are still there. */
  probe: UpstreamProbe
  log: Log
  metrics: Metrics
}
