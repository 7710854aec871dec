import { EntriesPrefixIndex } from './entriesPrefixIndex.js'
import { type RemovalPage } from './prefixIndex.js'

/** Applies every removal event as it comes. After a gap it starts over for that engine. */
export class EventPrefixIndex extends EntriesPrefixIndex {
  recordRemovals (engine: string, page: RemovalPage): void {
    if (page.afterGap) this.removeEngine(engine)
    const entries = this.entriesOf(engine)
    page.removedDigests.forEach((digest) => entries.remove(digest))
  }

  protected isProbablyCached (): boolean {
    return true
  }
}
