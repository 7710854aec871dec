import { storeRevisionOf } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { Departures } from './departures.js'
import { type ListedUpstream } from './entries.js'
import { FleetList } from './fleetList.js'
import { instanceOf, NewestStarts } from './newestStarts.js'

/** Live upstreams register again within two seconds after the platform recovers. */
export const REREGISTRATION_MS = 2200

export interface ReconciledFleetOptions {
  clock: Clock
  /** The last list that was read. Its revision increases over all eras of the platform's store. */
  listed: { readonly value: FleetList, readonly revision: number }
  /** Whether entries may have expired because the platform was unavailable. */
  mayHaveExpired: () => boolean
  /** Upstreams that are known to be draining, whatever the list contains. The revision increases with each change. */
  draining?: { readonly revision: number, has: (upstream: string) => boolean }
}

/**
 * The platform's list of the fleet, reconciled with what this box knows. Upstreams whose
 * entries expired while the platform was unavailable are retained. They register again
 * soon after it recovers, also if it is restored from an older backup; those that have not
 * by then are gone. Upstreams that are known to be draining, and departed upstreams that an
 * older backup lists again, are marked as leaving.
 */
export class ReconciledFleet {
  readonly #opts: ReconciledFleetOptions
  readonly #starts = new NewestStarts()
  readonly #departures: Departures
  #seenRevision = -1
  #seenDraining = 0
  #seenDepartures = 0
  #base = new FleetList([], [])
  #missing: readonly ListedUpstream[] = []
  #value = new FleetList([], [])
  #version = 0

  constructor (opts: ReconciledFleetOptions) {
    this.#opts = opts
    this.#departures = new Departures(opts.clock)
  }

  get value (): FleetList {
    this.#refresh()
    return this.#value
  }

  /** Increases with each change of the value. */
  get revision (): number {
    this.#refresh()
    return this.#version
  }

  /** Upstreams that are retained although they are not listed. */
  get missing (): readonly string[] {
    return this.#missing.map(({ name }) => name)
  }

  /** Upstreams that were draining when the platform's store was restored from an older backup. */
  get rememberedDraining (): readonly string[] {
    this.#refresh()
    return this.#departures.draining
  }

  #refresh (): void {
    const { listed, mayHaveExpired, draining } = this.#opts
    const changed = listed.revision !== this.#seenRevision
    if (changed && this.#isFromRestoredStore(listed.revision)) this.#departures.recordRestored()
    const retaining = mayHaveExpired() || this.#departures.sinceRestoredMs < REREGISTRATION_MS
    const drainingRevision = draining?.revision ?? 0
    const departuresRevision = this.#departures.revision
    const sameDepartures = drainingRevision === this.#seenDraining && departuresRevision === this.#seenDepartures
    if (!changed && sameDepartures && (retaining || this.#missing.length === 0)) return
    const known = this.#value.upstreams
    const base = changed ? this.#starts.withoutOlderStarts(listed.value) : this.#base
    const missing = retaining ? missingFrom(base, known) : []
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

  /** Whether a list is the first one of a later era. */
  #isFromRestoredStore (listRevision: number): boolean {
    return this.#seenRevision > 0 && storeRevisionOf(listRevision).era > storeRevisionOf(this.#seenRevision).era
  }

  #withDraining (list: FleetList): FleetList {
    const isDraining = ({ name, leaving }: ListedUpstream) => !leaving && (this.#opts.draining?.has(name) === true || this.#departures.has(name))
    if (!list.upstreams.some(isDraining)) return list
    return new FleetList(list.boxes, list.upstreams.map((upstream) => isDraining(upstream) ? { ...upstream, leaving: true } : upstream))
  }
}

/** Known upstreams that are not listed and were not leaving, except those whose address is now used by another upstream and those that were restarted. */
function missingFrom (list: FleetList, known: readonly ListedUpstream[]): ListedUpstream[] {
  const instances = new Set(list.upstreams.map(instanceOf))
  const addresses = new Set(list.upstreams.map(({ address }) => address))
  return known.filter((upstream) => !upstream.leaving && !instances.has(instanceOf(upstream)) && !addresses.has(upstream.address))
}
