import { type Collection } from '@reelspan/core.messages'
import { type RevisionedContent } from './revisionedContent.js'
import { type StoreRevision } from './storeRevision.js'

export interface PlatformReadOptions {
  /** Wait this long for a revision above the given one. 0 answers at once. */
  waitMs: number
  /** What stands when the platform is asked, not what a feed of changes has brought by then. Goes with a wait of 0. */
  fresh?: boolean
  /** Where the feed of changes goes on behind the content in force here, wherever that came from. */
  position?: StoreRevision
  signal?: AbortSignal
}

/** Reads what the platform publishes. Throws `ERR_REELSPAN_PLATFORM_UNAVAILABLE`. */
export abstract class PlatformReader {
  /** When the platform last answered, on this process's clock. */
  abstract get lastAnswerMs (): number

  /** Everything since a revision; 0 asks for all of it. */
  abstract read (collection: Collection, sinceRevision: number, opts: PlatformReadOptions): Promise<RevisionedContent>
}
