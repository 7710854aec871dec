import { type ListedBox, type ListedUpstream } from './entries.js'

/** The platform's list of boxes and upstreams. It may be out of date. */
export class FleetList {
  readonly boxes: readonly ListedBox[]
  readonly upstreams: readonly ListedUpstream[]
  readonly #byPool: Map<string, ListedUpstream[]>
  readonly #byName: Map<string, ListedUpstream>

  constructor (boxes: readonly ListedBox[], upstreams: readonly ListedUpstream[]) {
    this.boxes = boxes
    this.upstreams = upstreams
    this.#byPool = groupByPool(upstreams)
    this.#byName = new Map(upstreams.map((upstream) => [upstream.name, upstream]))
  }

  upstream (name: string): ListedUpstream | undefined {
    return this.#byName.get(name)
  }

  /** Whether an upstream accepts new work: it is listed and not leaving. */
  takesWork (name: string): boolean {
    return this.upstream(name)?.leaving === false
  }

  /** All listed upstreams of a pool, leaving or not. */
  inPool (pool: string): readonly ListedUpstream[] {
    return this.#byPool.get(pool) ?? []
  }

  /** The upstreams of a pool that accept new work. */
  takingWork (pool: string): readonly ListedUpstream[] {
    return this.inPool(pool).filter(({ leaving }) => !leaving)
  }
}

function groupByPool (upstreams: readonly ListedUpstream[]): Map<string, ListedUpstream[]> {
  const groups = new Map<string, ListedUpstream[]>()
  upstreams.forEach((upstream) => {
    const group = groups.get(upstream.pool)
    if (group) group.push(upstream)
    else groups.set(upstream.pool, [upstream])
  })
  return groups
}
