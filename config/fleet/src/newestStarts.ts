import { type ListedUpstream } from './entries.js'
import { FleetList } from './fleetList.js'

/** Maximum number of instances whose newest start is remembered: several times the upstreams that a deployment replaces while entries of older starts may still arrive. */
const MAX_REMEMBERED = 4000

/**
 * Prevents an older start of an upstream from replacing a newer one, for example when
 * an entry that an engine wrote before it crashed arrives late.
 */
export class NewestStarts {
  /** Time of the newest known start of each instance, the last restarted instance last. */
  readonly #startedAtMs = new Map<string, number>()
  /** The last list that was returned. */
  #listed = new FleetList([], [])

  /** Returns the list without older starts. They are replaced by the newest start if the last list contained it. */
  withoutOlderStarts (list: FleetList): FleetList {
    list.upstreams.forEach((upstream) => this.#recordStart(upstream))
    const result = list.upstreams.some((upstream) => this.#isOlder(upstream)) ? this.#withoutOlder(list) : list
    this.#listed = result
    return result
  }

  #withoutOlder ({ boxes, upstreams }: FleetList): FleetList {
    const current = upstreams.filter((upstream) => !this.#isOlder(upstream))
    const instances = new Set(current.map(instanceOf))
    const kept = upstreams
      .filter((upstream) => this.#isOlder(upstream) && !instances.has(instanceOf(upstream)))
      .flatMap((upstream) => this.#listed.upstreams.find((known) => instanceOf(known) === instanceOf(upstream)) ?? [])
    return new FleetList(boxes, [...current, ...new Set(kept)])
  }

  #recordStart (upstream: ListedUpstream): void {
    const { startedAtMs } = upstream
    if (startedAtMs === undefined) return
    const instance = instanceOf(upstream)
    const newestMs = this.#startedAtMs.get(instance)
    if (newestMs !== undefined && newestMs >= startedAtMs) return
    this.#startedAtMs.delete(instance)
    this.#startedAtMs.set(instance, startedAtMs)
    if (this.#startedAtMs.size > MAX_REMEMBERED) this.#startedAtMs.delete(this.#startedAtMs.keys().next().value as string)
  }

  #isOlder (upstream: ListedUpstream): boolean {
    const { startedAtMs } = upstream
    return startedAtMs !== undefined && startedAtMs < (this.#startedAtMs.get(instanceOf(upstream)) ?? startedAtMs)
  }
}

/** Name of an upstream over all its starts. */
export function instanceOf ({ instance, name }: ListedUpstream): string {
  return instance ?? name
}
