import { connect } from 'node:net'
import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { splitAddress } from '@reelspan/net.system-env'
import { UpstreamPresence, UpstreamProbe } from '@reelspan/upstream.client'

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

  async look (address: string): Promise<UpstreamPresence> {
    const socket = connect(splitAddress(address))
    const presence = new Promise<UpstreamPresence>((resolve) => {
      socket.once('connect', () => resolve(UpstreamPresence.Listens))
      // A reset is not a refusal: upstreams reset connections that they have no room for.
      socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code === REFUSED ? UpstreamPresence.Refuses : UpstreamPresence.Silent))
    })
    const seen = await raceTimeout(this.#opts.clock, presence, TIMEOUT_MS)
    socket.destroy()
    return seen === TimedOut ? UpstreamPresence.Silent : seen
  }
}
