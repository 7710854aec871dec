import { connect } from 'node:net'
import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { splitAddress } from '@reelspan/net.system-env'
import { UpstreamProbeResult, UpstreamProbe } from '@reelspan/upstream.client'

export interface TcpUpstreamProbeOptions {
  clock: Clock
}

/** The round trip to an upstream takes a few milliseconds. A timeout counts as unresponsive, from which callers conclude nothing. */
const TIMEOUT_MS = 300
const CONNECTION_REFUSED_CODE = 'ECONNREFUSED'

/** Probes an upstream by opening a TCP connection, which is closed without sending data. */
export class TcpUpstreamProbe extends UpstreamProbe {
  readonly #opts: TcpUpstreamProbeOptions

  constructor (opts: TcpUpstreamProbeOptions) {
    super()
    this.#opts = opts
  }

  async probe (address: string): Promise<UpstreamProbeResult> {
    const socket = connect(splitAddress(address))
    const connectionResult = new Promise<UpstreamProbeResult>((resolve) => {
      socket.once('connect', () => resolve(UpstreamProbeResult.Listening))
      // A reset does not count as refused: overloaded upstreams reset connections that they cannot accept.
      socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code === CONNECTION_REFUSED_CODE ? UpstreamProbeResult.Refused : UpstreamProbeResult.Unresponsive))
    })
    const result = await raceTimeout(this.#opts.clock, connectionResult, TIMEOUT_MS)
    socket.destroy()
    return result === TimedOut ? UpstreamProbeResult.Unresponsive : result
  }
}
