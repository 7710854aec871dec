import { type FleetProcess } from '@reelspan/utils.bench'
import { type BoxAddresses, type Role, type StandInUpstream } from '@reelspan/utils.platform-stand-ins'
import { type FaultProxy } from './faultProxy.js'
import { type TimeInterval } from './timeInterval.js'

export interface SoakBox {
  name: string
  zone: string
  addresses: BoxAddresses
  process: FleetProcess
  /** Proxy between the box and the store. */
  storeProxy: FaultProxy
  /** Proxy between the other boxes and this one. */
  peerProxy: FaultProxy
  /** Intervals in which its process was suspended or got no processor time, on `performance.now()`. */
  pauses: TimeInterval[]
  /** Output of its earlier processes. */
  earlierOutput: string
}

/** An upstream that is restarted under new instance names. Its proxy keeps the address across restarts. */
export interface UpstreamReplica {
  name: string
  role: Role
  proxy: FaultProxy
  upstream: StandInUpstream
  instance: string
  listed: boolean
  leaving: boolean
  sequence: number
  /** Raised with each restart, so that several versions serve side by side. */
  softwareVersion: string
}
