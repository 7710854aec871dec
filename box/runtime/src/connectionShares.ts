import { type Configuration } from '@reelspan/config.resources'
import { type UpstreamsByAddress } from './upstreamsByAddress.js'

export interface ConnectionSharesOptions {
  configuration: () => Configuration
  upstreams: UpstreamsByAddress
  /** Boxes that take work, this one included. */
  boxCount: () => number
}

/** How many connections of each upstream are this box's: what its pool declares to take of all boxes together, in equal parts. */
export class ConnectionShares {
  readonly #opts: ConnectionSharesOptions

  constructor (opts: ConnectionSharesOptions) {
    this.#opts = opts
  }

  /** The share in the upstream at an address, or nothing where its pool declares no number. */
  at (address: string): number | undefined {
    const { configuration, upstreams, boxCount } = this.#opts
    const upstream = upstreams.at(address)
    const most = upstream && configuration().pool(upstream.pool)?.maxConnections
    return most === undefined ? undefined : Math.max(1, Math.floor(most / Math.max(1, boxCount())))
  }
}
