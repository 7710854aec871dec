import { isDeepStrictEqual } from 'node:util'
import { Notifier } from '@reelspan/core.env'
import { ContentDigest } from './contentDigest.js'
import { type ContentChange, type RevisionedContent } from './revisionedContent.js'
import { type StoreRevision } from './storeRevision.js'

export enum AdoptOutcome {
  Adopted = 'adopted',
  NotNewer = 'notNewer',
  Invalid = 'invalid',
  /** The changes did not result in the content whose digest they carry. */
  Mismatch = 'mismatch',
}

/** A revision that was rejected as invalid. */
export interface RejectedRevision {
  revision: number
  problems: string[]
}

/** Parses a whole content to a value. Content with problems is not adopted. */
export type ContentParser<T> = (entries: ContentChange[], revision: number) => { value: T, problems: string[] }

/** Maximum number of deleted entries retained for readers that have not received the deletion. */
const MAX_DELETED_ENTRIES = 1000

/** Number of earlier contents that can be identified by digest: there are at most some thousands of changes a day, and they spread within seconds. */
const MAX_PAST_DIGESTS = 100

/**
 * The content of one collection in force at this box. Its revision never decreases:
 * only a higher revision is adopted, and only if its whole content is valid.
 */
export class ConfigStore<T> {
  readonly #parse: ContentParser<T>
  readonly #changed = new Notifier()
  readonly #digests = new ContentDigest()
  /** Revisions of the contents that were in force here, by digest, the newest last. */
  readonly #pastDigests = new Map<string, number>()
  #entries = new Map<string, ContentChange>()
  #digest?: string
  #revision = 0
  #position?: StoreRevision
  /** Readers below this revision may lack deletions that are no longer retained here. */
  #deltaFloor = 0
  #value: T
  #rejected?: RejectedRevision

  constructor (parse: ContentParser<T>) {
    this.#parse = parse
    this.#value = parse([], 0).value
  }

  get revision (): number {
    return this.#revision
  }

  /** Digest of the content in force, equal at all boxes with that content. Undefined before the first. */
  get digest (): string | undefined {
    return this.#digest
  }

  /** Position in the platform's change feed right after the content in force, if known. */
  get position (): StoreRevision | undefined {
    return this.#position
  }

  get value (): T {
    return this.#value
  }

  /** The last rejected revision, while it is above the one in force. */
  get rejected (): RejectedRevision | undefined {
    return this.#rejected && this.#rejected.revision > this.#revision ? this.#rejected : undefined
  }

  /** Adopts content that was requested with `sinceRevision`, if it is newer and valid. */
  adopt (content: RevisionedContent, sinceRevision: number): AdoptOutcome {
    if (content.revision <= this.#revision) return AdoptOutcome.NotNewer
    // Changes since a later revision than the one in force would leave a gap.
    if (!content.full && sinceRevision > this.#revision) return AdoptOutcome.NotNewer
    const entries = content.full ? this.#replaceAll(content) : this.#applyChanges(content)
    const live = withoutDeleted(entries)
    const digest = this.#digests.of(live)
    if (!content.full && content.digest !== undefined && content.digest !== digest) return AdoptOutcome.Mismatch
    const { value, problems } = this.#parse(live, content.revision)
    if (problems.length > 0) {
      this.#rejected = { revision: content.revision, problems }
      return AdoptOutcome.Invalid
    }
    if (content.full) this.#deltaFloor = content.revision
    // If applying changes would give another order of entries, readers at past contents need the whole content.
    if (content.full && this.#digests.of(withoutDeleted(applyChanges(this.#entries, [...entries.values()]))) !== digest) this.#pastDigests.clear()
    this.#entries = this.#forgetOldDeletions(entries)
    this.#revision = content.revision
    this.#position = content.position
    this.#recordPastDigest(digest)
    this.#value = value
    this.#changed.notify()
    return AdoptOutcome.Adopted
  }

  /** Returns the changes that a reader at `sinceRevision` with the content of that digest lacks, or the whole content if they are not known. */
  changesSince (sinceRevision: number, digest?: string): RevisionedContent {
    const entries = [...this.#entries.values()]
    const pastRevision = digest === undefined ? undefined : this.#pastDigests.get(digest)
    const since = pastRevision ?? sinceRevision
    const known = { revision: this.#revision, ...this.#position && { position: this.#position } }
    return pastRevision === undefined && (sinceRevision < this.#deltaFloor || sinceRevision === 0)
      ? { ...known, full: true, changes: entries.filter(({ spec }) => spec !== null) }
      : { ...known, full: false, changes: entries.filter(({ revision }) => revision > since), digest: this.#digest }
  }

  /** Returns the new entries. Unchanged ones keep their objects, so that cached results for them stay valid. */
  #replaceAll ({ revision, changes }: RevisionedContent): Map<string, ContentChange> {
    const next = applyChanges(new Map(), changes)
    next.forEach((change, id) => {
      const known = this.#entries.get(id)
      if (known && isDeepStrictEqual(known.spec, change.spec)) next.set(id, known)
    })
    this.#entries.forEach((known, id) => {
      if (!next.has(id)) next.set(id, known.spec === null ? known : { ...known, revision, spec: null })
    })
    return next
  }

  #applyChanges ({ changes }: RevisionedContent): Map<string, ContentChange> {
    return applyChanges(this.#entries, changes.map((change) => this.#withKnownSpec(change)))
  }

  /** Replaces an equal spec by the object in force here, so that a parser's cache recognizes it. */
  #withKnownSpec (change: ContentChange): ContentChange {
    const known = this.#entries.get(entryId(change))
    return known && isDeepStrictEqual(known.spec, change.spec) ? { ...change, spec: known.spec } : change
  }

  #recordPastDigest (digest: string): void {
    this.#digest = digest
    this.#pastDigests.delete(digest)
    this.#pastDigests.set(digest, this.#revision)
    if (this.#pastDigests.size > MAX_PAST_DIGESTS) this.#pastDigests.delete(this.#pastDigests.keys().next().value as string)
  }

  #forgetOldDeletions (entries: Map<string, ContentChange>): Map<string, ContentChange> {
    const forgotten = [...entries]
      .filter(([, { spec }]) => spec === null)
      .sort(([, a], [, b]) => b.revision - a.revision)
      .slice(MAX_DELETED_ENTRIES)
    forgotten.forEach(([id, { revision }]) => {
      entries.delete(id)
      this.#deltaFloor = Math.max(this.#deltaFloor, revision)
    })
    return entries
  }

  /** Resolves once the revision in force is above `revision`, or the signal is aborted. */
  async waitAbove (revision: number, signal?: AbortSignal): Promise<void> {
    while (this.#revision <= revision && !signal?.aborted) await this.#changed.wait(signal)
  }
}

function applyChanges (entries: Map<string, ContentChange>, changes: readonly ContentChange[]): Map<string, ContentChange> {
  const next = new Map(entries)
  changes.forEach((change) => {
    const id = entryId(change)
    const known = next.get(id)
    if (!known || known.revision < change.revision) next.set(id, change)
  })
  return next
}

function withoutDeleted (entries: Map<string, ContentChange>): ContentChange[] {
  return [...entries.values()].filter(({ spec }) => spec !== null)
}

function entryId ({ kind, name }: ContentChange): string {
  return `${kind}/${name}`
}
