import { EntriesPrefixIndex } from './entriesPrefixIndex.js'
import { type RemovalPage } from './prefixIndex.js'

/** Applies removal events when they are received. A gap in the events clears the engine's entries. */
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
