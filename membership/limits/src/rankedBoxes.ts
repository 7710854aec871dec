import { rankByRendezvous } from '@reelspan/core.hashing'

export interface RankedBoxesOptions<T> {
  /** Role of the boxes; different roles rank them differently. */
  role: string
  /** Boxes that can have the role. Returns the same array until one changes. */
  candidates: () => readonly T[]
  nameOf: (candidate: T) => string
  /** Number of boxes that have the role for one limit. */
  count: number
}

/** The boxes that have a role for each limit, by rank. */
export class RankedBoxes<T> {
  readonly #opts: RankedBoxesOptions<T>
  /** By the limits' names; cleared when the candidates change. */
  readonly #ranked = new Map<string, readonly T[]>()
  #rankedAmong?: readonly T[]

  constructor (opts: RankedBoxesOptions<T>) {
    this.#opts = opts
  }

  of (name: string): readonly T[] {
    const { role, candidates: candidatesNow, nameOf, count } = this.#opts
    const candidates = candidatesNow()
    if (candidates !== this.#rankedAmong) {
      this.#rankedAmong = candidates
      this.#ranked.clear()
    }
    const known = this.#ranked.get(name)
    if (known) return known
    const ranked = rankByRendezvous(`${role}|${name}`, candidates, nameOf).slice(0, count)
    this.#ranked.set(name, ranked)
    return ranked
  }
}

/** The coordinator, and the box that follows it once its process has exited. */
const COORDINATOR_CANDIDATES = 2

/** The coordinators of limits, which are chosen by incarnation among the members. */
export function rankCoordinators<T extends { incarnation: string }> (members: () => readonly T[]): RankedBoxes<T> {
  return new RankedBoxes({ role: 'limit', candidates: members, nameOf: ({ incarnation }) => incarnation, count: COORDINATOR_CANDIDATES })
}
