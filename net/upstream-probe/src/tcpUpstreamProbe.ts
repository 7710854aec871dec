import { connect } from 'node:net'
import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { splitAddress } from '@reelspan/net.system-env'
import { UpstreamProbeResult, UpstreamProbe } from '@reelspan/upstream.client'

export interface TcpUpstreamProbeOptions {
  clock: Clock
}

/** Upstreams are some milliseconds away. One that takes longer is taken for silent, which decides nothing. */
const TIMEOUT_MS = 300
const REFUSED = 'ECONNREFUSED'

/** Opens a connection, and closes it without having sent anything. */
export class TcpUpstreamProbe extends UpstreamProbe {
  readonly #opts: TcpUpstreamProbeOptions

  constructor (opts: TcpUpstreamProbeOptions) {
    super()
    this.#opts = opts
  }

  async probe (address: string): Promise<UpstreamProbeResult> {
    const socket = connect(splitAddress(address))
    const presence = new Promise<UpstreamProbeResult>((resolve) => {
      socket.once('connect', () => resolve(UpstreamProbeResult.Listening))
      // A reset is not a refusal: upstreams reset connections that they have no room for.
      socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code === REFUSED ? UpstreamProbeResult.Refused : UpstreamProbeResult.Unresponsive))
    })
    const seen = await raceTimeout(this.#opts.clock, presence, TIMEOUT_MS)
    socket.destroy()
    return seen === TimedOut ? UpstreamProbeResult.Unresponsive : seen
  }
}
