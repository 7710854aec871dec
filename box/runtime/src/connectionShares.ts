import { type FleetList } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'

export interface ConnectionSharesOptions {
  configuration: () => Configuration
  fleet: () => FleetList
  fleetRevision: () => number
  /** Boxes that take work, this one included. */
  boxCount: () => number
}

/** How many connections of each upstream are this box's: what its pool declares to take of all boxes together, in equal parts. */
export class ConnectionShares {
  readonly #opts: ConnectionSharesOptions
  #poolOf = new Map<string, string>()
  #revision = -1

  constructor (opts: ConnectionSharesOptions) {
    this.#opts = opts
  }

  /** The share in the upstream at an address, or nothing where its pool declares no number. */
  at (address: string): number | undefined {
    const { configuration, boxCount } = this.#opts
    const pool = this.#pools().get(address)
    const most = pool === undefined ? undefined : configuration().pool(pool)?.maxConnections
    return most === undefined ? undefined : Math.max(1, Math.floor(most / Math.max(1, boxCount())))
  }

  #pools (): ReadonlyMap<string, string> {
    const { fleet, fleetRevision } = this.#opts
    if (this.#revision !== fleetRevision()) {
      this.#revision = fleetRevision()
      this.#poolOf = new Map(fleet().upstreams.map(({ address, pool }) => [address, pool]))
    }
    return this.#poolOf
  }
}
