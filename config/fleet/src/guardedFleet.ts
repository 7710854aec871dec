import { storeRevisionOf } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { Departures } from './departures.js'
import { type ListedUpstream } from './entries.js'
import { FleetList } from './fleetList.js'
import { instanceOf, NewestStarts } from './newestStarts.js'

/** Upstreams that live enter themselves again within two seconds of the platform's return. */
export const REENTRY_MS = 2200

export interface GuardedFleetOptions {
  clock: Clock
  /** The list as it was last read. Its revision is an order over all eras of the platform's store. */
  listed: { readonly value: FleetList, readonly revision: number }
  /** Whether entries may be missing because the platform was away. */
  mayHaveLapsed: () => boolean
  /** Upstreams that are known to be draining, whatever the list says. The revision rises with each change. */
  draining?: { readonly revision: number, has: (upstream: string) => boolean }
}

/**
 * The list of the fleet, with those upstreams that are missing for now because
 * their entries lapsed while the platform was away. They enter themselves again
 * soon after it is back, also from an older copy; what has not done so by then is
 * gone. Upstreams that are known to be draining are leaving, and so are those that a
 * copy lists again.
 */
export class GuardedFleet {
  readonly #opts: GuardedFleetOptions
  readonly #starts = new NewestStarts()
  readonly #departures: Departures
  #seenRevision = -1
  #seenDraining = 0
  #seenDepartures = 0
  #base = new FleetList([], [])
  #missing: readonly ListedUpstream[] = []
  #value = new FleetList([], [])
  #version = 0

  constructor (opts: GuardedFleetOptions) {
    this.#opts = opts
    this.#departures = new Departures(opts.clock)
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

  /** Upstreams that were draining when the platform's store came back from an older copy. */
  get rememberedDraining (): readonly string[] {
    this.#refresh()
    return this.#departures.draining
  }

  #refresh (): void {
    const { listed, mayHaveLapsed, draining } = this.#opts
    const changed = listed.revision !== this.#seenRevision
    if (changed && this.#comesFromCopy(listed.revision)) this.#departures.noteRestored()
    const guarding = mayHaveLapsed() || this.#departures.sinceRestoredMs < REENTRY_MS
    const drainingRevision = draining?.revision ?? 0
    const departuresRevision = this.#departures.revision
    const sameDepartures = drainingRevision === this.#seenDraining && departuresRevision === this.#seenDepartures
    if (!changed && sameDepartures && (guarding || this.#missing.length === 0)) return
    const known = this.#value.upstreams
    const base = changed ? this.#starts.take(listed.value) : this.#base
    const missing = guarding ? missingFrom(base, known) : []
    this.#seenRevision = listed.revision
    this.#seenDraining = drainingRevision
    this.#seenDepartures = departuresRevision
    this.#base = base
    this.#missing = missing
    const complete = missing.length > 0 ? new FleetList(base.boxes, [...base.upstreams, ...missing]) : base
    this.#departures.record(complete)
    this.#value = this.#withDraining(complete)
    this.#version++
  }

  /** Whether a list is the first of a later era than the one before it. */
  #comesFromCopy (listOrder: number): boolean {
    return this.#seenRevision > 0 && storeRevisionOf(listOrder).era > storeRevisionOf(this.#seenRevision).era
  }

  #withDraining (list: FleetList): FleetList {
    const drains = ({ name, leaving }: ListedUpstream) => !leaving && (this.#opts.draining?.has(name) === true || this.#departures.has(name))
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
