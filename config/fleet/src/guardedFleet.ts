import { type ListedUpstream } from './entries.js'
import { FleetList } from './fleetList.js'
import { instanceOf, NewestStarts } from './newestStarts.js'

export interface GuardedFleetOptions {
  /** The list as it was last read. */
  listed: { readonly value: FleetList, readonly revision: number }
  /** Whether entries may be missing because the platform was away. */
  mayHaveLapsed: () => boolean
}

/**
 * The list of the fleet, with those upstreams that are missing for now because
 * their entries lapsed while the platform was away. They enter themselves again
 * soon after it is back; what has not done so by then is gone.
 */
export class GuardedFleet {
  readonly #opts: GuardedFleetOptions
  readonly #starts = new NewestStarts()
  #seenRevision = -1
  #base = new FleetList([], [])
  #missing: readonly ListedUpstream[] = []
  #value = new FleetList([], [])
  #version = 0

  constructor (opts: GuardedFleetOptions) {
    this.#opts = opts
  }

  get value (): FleetList {
    this.#refresh()
    return this.#value
  }

  /** Rises with each change of the value. */
  get revision (): number {
    this.#refresh()
    return this.#version
  }

  /** Upstreams that are kept though they are not listed. */
  get missing (): readonly string[] {
    return this.#missing.map(({ name }) => name)
  }

  #refresh (): void {
    const { listed, mayHaveLapsed } = this.#opts
    const guarding = mayHaveLapsed()
    const changed = listed.revision !== this.#seenRevision
    if (!changed && (guarding || this.#missing.length === 0)) return
    const known = [...this.#base.upstreams, ...this.#missing]
    const base = changed ? this.#starts.take(listed.value) : this.#base
    const missing = guarding ? missingFrom(base, known) : []
    this.#seenRevision = listed.revision
    this.#base = base
    this.#missing = missing
    this.#value = missing.length > 0 ? new FleetList(this.#base.boxes, [...this.#base.upstreams, ...missing]) : this.#base
    this.#version++
  }
}

/** Known upstreams that are not listed and had not said that they leave. An address that another one has now is no longer theirs, and one that started again is not missing. */
function missingFrom (list: FleetList, known: readonly ListedUpstream[]): ListedUpstream[] {
  const instances = new Set(list.upstreams.map(instanceOf))
  const addresses = new Set(list.upstreams.map(({ address }) => address))
  return known.filter((upstream) => !upstream.leaving && !instances.has(instanceOf(upstream)) && !addresses.has(upstream.address))
}
