/** A revision of the platform's store. A new era begins whenever the store is restored from an older backup, after which revisions repeat. */
export interface StoreRevision {
  era: number
  revision: number
}

const REVISIONS_PER_ERA = 2 ** 40

/** Combines era and revision to one number that increases over all eras, so that boxes can compare two lists. */
export function orderedRevisionOf ({ era, revision }: StoreRevision): number {
  return era * REVISIONS_PER_ERA + Math.min(revision, REVISIONS_PER_ERA - 1)
}

/** Reverses `orderedRevisionOf`. */
export function storeRevisionOf (orderedRevision: number): StoreRevision {
  return { era: Math.floor(orderedRevision / REVISIONS_PER_ERA), revision: orderedRevision % REVISIONS_PER_ERA }
}
