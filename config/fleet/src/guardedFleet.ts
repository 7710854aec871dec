import { type ListedUpstream } from './entries.js'
import { FleetList } from './fleetList.js'
import { instanceOf, NewestStarts } from './newestStarts.js'

export interface GuardedFleetOptions {
  /** The list as it was last read. */
  listed: { readonly value: FleetList, readonly revision: number }
  /** Whether entries may be missing because the platform was away. */
  mayHaveLapsed: () => boolean
  /** Upstreams that are known to be draining, whatever the list says. The revision rises with each change. */
  draining?: { readonly revision: number, has: (upstream: string) => boolean }
}

/**
 * The list of the fleet, with those upstreams that are missing for now because
 * their entries lapsed while the platform was away. They enter themselves again
 * soon after it is back; what has not done so by then is gone. Upstreams that are
 * known to be draining are leaving.
 */
export class GuardedFleet {
  readonly #opts: GuardedFleetOptions
  readonly #starts = new NewestStarts()
  #seenRevision = -1
  #seenDraining = 0
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
    const { listed, mayHaveLapsed, draining } = this.#opts
    const guarding = mayHaveLapsed()
    const changed = listed.revision !== this.#seenRevision
    const drainingRevision = draining?.revision ?? 0
    if (!changed && drainingRevision === this.#seenDraining && (guarding || this.#missing.length === 0)) return
    const known = this.#value.upstreams
    const base = changed ? this.#starts.take(listed.value) : this.#base
    const missing = guarding ? missingFrom(base, known) : []
    this.#seenRevision = listed.revision
    this.#seenDraining = drainingRevision
    this.#base = base
    this.#missing = missing
    this.#value = this.#withDraining(missing.length > 0 ? new FleetList(base.boxes, [...base.upstreams, ...missing]) : base)
    this.#version++
  }

  #withDraining (list: FleetList): FleetList {
    const drains = ({ name, leaving }: ListedUpstream) => !leaving && this.#opts.draining?.has(name) === true
    if (!list.upstreams.some(drains)) return list
    return new FleetList(list.boxes, list.upstreams.map((upstream) => drains(upstream) ? { ...upstream, leaving: true } : upstream))
  }
}

/** Known upstreams that are not listed and had not said that they leave. An address that another one has now is no longer theirs, and one that started again is not missing. */
function missingFrom (list: FleetList, known: readonly ListedUpstream[]): ListedUpstream[] {
  const instances = new Set(list.upstreams.map(instanceOf))
  const addresses = new Set(list.upstreams.map(({ address }) => address))
  return known.filter((upstream) => !upstream.leaving && !instances.has(instanceOf(upstream)) && !addresses.has(upstream.address))
}
