/** A revision of the platform's store. It is given out again in each era: whenever the store came back from an older copy. */
export interface StoreRevision {
  era: number
  revision: number
}

const REVISIONS_PER_ERA = 2 ** 40

/** One number that rises over all eras, by which boxes tell which of two lists is the newer. */
export function orderOf ({ era, revision }: StoreRevision): number {
  return era * REVISIONS_PER_ERA + Math.min(revision, REVISIONS_PER_ERA - 1)
}

export function storeRevisionOf (order: number): StoreRevision {
  return { era: Math.floor(order / REVISIONS_PER_ERA), revision: order % REVISIONS_PER_ERA }
}
