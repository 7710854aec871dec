import { type FleetList, type ListedUpstream } from '@reelspan/config.fleet'

export interface UpstreamsByAddressOptions {
  /** The fleet list that this box acts on. */
  fleet: { readonly value: FleetList, readonly revision: number }
}

/** Index of the upstreams by address. */
export class UpstreamsByAddress {
  readonly #opts: UpstreamsByAddressOptions
  #byAddress: ReadonlyMap<string, ListedUpstream> = new Map()
  #revision = -1

  constructor (opts: UpstreamsByAddressOptions) {
    this.#opts = opts
  }

  at (address: string): ListedUpstream | undefined {
    const { fleet } = this.#opts
    const { revision } = fleet
    if (revision !== this.#revision) this.#byAddress = new Map(fleet.value.upstreams.map((upstream) => [upstream.address, upstream]))
    this.#revision = revision
    return this.#byAddress.get(address)
  }
}
