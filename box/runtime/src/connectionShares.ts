import { type Configuration } from '@reelspan/config.resources'
import { type UpstreamsByAddress } from './upstreamsByAddress.js'

export interface ConnectionSharesOptions {
  configuration: () => Configuration
  upstreams: UpstreamsByAddress
  /** Number of boxes that take work, including this one. */
  boxCount: () => number
}

/** Divides the connections that a pool allows per upstream evenly among all boxes. */
export class ConnectionShares {
  readonly #opts: ConnectionSharesOptions

  constructor (opts: ConnectionSharesOptions) {
    this.#opts = opts
  }

  /** This box's share of the connections to the upstream at an address, or undefined if its pool declares no maximum. */
  at (address: string): number | undefined {
    const { configuration, upstreams, boxCount } = this.#opts
    const upstream = upstreams.at(address)
    const maxConnections = upstream && configuration().pool(upstream.pool)?.maxConnections
    return maxConnections === undefined ? undefined : Math.max(1, Math.floor(maxConnections / Math.max(1, boxCount())))
  }
}
