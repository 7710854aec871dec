import { type StoreRevision } from './storeRevision.js'

/** A changed entry. A null spec says that it was deleted. */
export interface ContentChange {
  kind: string
  name: string
  /** Revision of this change. */
  revision: number
  spec: unknown
}

/** What the platform, or a peer, answers for "everything since revision R". */
export interface RevisionedContent {
  revision: number
  /** The changes are all entries there are, instead of those since R. */
  full: boolean
  changes: ContentChange[]
  /** Of the content that the changes lead to, if the sender knows it. */
  digest?: string
  /** Where the platform's feed of changes goes on behind this content, whoever reads it. */
  position?: StoreRevision
  /** The revision that the platform itself shows, where that may be lower: it may have come back from an older copy. */
  shownRevision?: number
  /** Since the platform was seen to come back from an older copy. */
  sinceRestoredMs?: number
}
