import { type Collection } from '@reelspan/core.messages'
import { type RevisionedContent } from './revisionedContent.js'
import { type StoreRevision } from './storeRevision.js'

export interface PlatformReadOptions {
  /** How long to wait for a revision above the given one. 0 returns immediately. */
  waitMs: number
  /** Reads the platform's current content instead of the last state of its change feed. Requires a wait of 0. */
  fresh?: boolean
  /** Position in the change feed right after the content in force here, whatever its source. */
  position?: StoreRevision
  signal?: AbortSignal
}

/** Reads the platform's collections. Throws `ERR_REELSPAN_PLATFORM_UNAVAILABLE`. */
export abstract class PlatformReader {
  /** When the platform last answered, by this process's clock. */
  abstract get lastAnswerMs (): number

  /** Reads the changes since a revision, or the whole content if it is 0. */
  abstract read (collection: Collection, sinceRevision: number, opts: PlatformReadOptions): Promise<RevisionedContent>
}
