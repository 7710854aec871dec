import { type ListedUpstream } from './entries.js'
import { FleetList } from './fleetList.js'

/** Instances whose newest start is remembered when they are not listed any more: some times what a deployment replaces while word of an older start may still be under way. */
const MAX_REMEMBERED = 4000

/**
 * Keeps an older start of an upstream from taking the place of a newer one, as when
 * word that an engine wrote before it crashed comes in late.
 */
export class NewestStarts {
  /** When the newest known start of each instance began, the one that started again last at the end. */
  readonly #startedAtMs = new Map<string, number>()
  /** The last list that was taken in. */
  #listed = new FleetList([], [])

  /** The list with older starts left out. The newest start, if it was listed before, stays in their place. */
  take (list: FleetList): FleetList {
    list.upstreams.forEach((upstream) => this.#note(upstream))
    const taken = list.upstreams.some((upstream) => this.#isOlder(upstream)) ? this.#withoutOlder(list) : list
    this.#listed = taken
    return taken
  }

  #withoutOlder ({ boxes, upstreams }: FleetList): FleetList {
    const current = upstreams.filter((upstream) => !this.#isOlder(upstream))
    const instances = new Set(current.map(instanceOf))
    const kept = upstreams
      .filter((upstream) => this.#isOlder(upstream) && !instances.has(instanceOf(upstream)))
      .flatMap((upstream) => this.#listed.upstreams.find((known) => instanceOf(known) === instanceOf(upstream)) ?? [])
    return new FleetList(boxes, [...current, ...new Set(kept)])
  }

  #note (upstream: ListedUpstream): void {
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

/** What an upstream is called over all its starts. */
export function instanceOf ({ instance, name }: ListedUpstream): string {
  return instance ?? name
}
