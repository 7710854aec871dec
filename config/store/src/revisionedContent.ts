import { type StoreRevision } from './storeRevision.js'

/** A changed entry. A null spec means that it was deleted. */
export interface ContentChange {
  kind: string
  name: string
  /** Revision of this change. */
  revision: number
  spec: unknown
}

/** The answer of the platform or a peer to a request for all changes since a revision. */
export interface RevisionedContent {
  revision: number
  /** `changes` contains all entries, not only those changed since the requested revision. */
  full: boolean
  changes: ContentChange[]
  /** Digest of the content that results from the changes, if the sender knows it. */
  digest?: string
  /** Position in the platform's change feed right after this content, valid for any reader. */
  position?: StoreRevision
  /** The revision in the platform's own store, which may be lower after it was restored from an older backup. */
  shownRevision?: number
  /** Time since the platform was observed to be restored from an older backup. */
  sinceRestoredMs?: number
}
