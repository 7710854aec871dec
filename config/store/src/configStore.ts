import { isDeepStrictEqual } from 'node:util'
import { Notifier } from '@reelspan/core.env'
import { ContentDigest } from './contentDigest.js'
import { type ContentChange, type RevisionedContent } from './revisionedContent.js'
import { type StoreRevision } from './storeRevision.js'

export enum AdoptOutcome {
  Adopted = 'adopted',
  NotNewer = 'notNewer',
  Invalid = 'invalid',
  /** The changes do not lead to the content that they were taken from. */
  Mismatch = 'mismatch',
}

/** A revision that was not adopted, and why. */
export interface RejectedRevision {
  revision: number
  problems: string[]
}

/** Makes a value of a whole content. Problems, if any, keep it from being adopted. */
export type ContentParser<T> = (entries: ContentChange[], revision: number) => { value: T, problems: string[] }

/** Deleted entries that are kept for readers who do not know of the deletion. */
const MAX_DELETED_ENTRIES = 1000

/** Contents that a reader may still have: changes come some thousands of times a day at most, and spread within seconds. */
const MAX_PAST_CONTENTS = 100

/**
 * One collection as it is in force at this box. Its revision never falls: only
 * a higher one is adopted, and only if the whole of it is valid.
 */
export class ConfigStore<T> {
  readonly #parse: ContentParser<T>
  readonly #changed = new Notifier()
  readonly #digests = new ContentDigest()
  /** Digests of the contents that were in force here, the newest last, and their revisions. */
  readonly #past = new Map<string, number>()
  #entries = new Map<string, ContentChange>()
  #digest?: string
  #revision = 0
  #position?: StoreRevision
  /** Readers below this revision may lack deletions that were forgotten here. */
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

  /** Names the content in force, whatever box has it. None before the first. */
  get digest (): string | undefined {
    return this.#digest
  }

  /** Where the platform's feed goes on behind the content in force, if its reader knew. */
  get position (): StoreRevision | undefined {
    return this.#position
  }

  get value (): T {
    return this.#value
  }

  /** The newest revision that was refused, while it is above the one in force. */
  get rejected (): RejectedRevision | undefined {
    return this.#rejected && this.#rejected.revision > this.#revision ? this.#rejected : undefined
  }

  /** Takes content that was read as "since `sinceRevision`". */
  adopt (content: RevisionedContent, sinceRevision: number): AdoptOutcome {
    if (content.revision <= this.#revision) return AdoptOutcome.NotNewer
    // A delta counted from a later revision than ours would leave a gap.
    if (!content.full && sinceRevision > this.#revision) return AdoptOutcome.NotNewer
    const entries = content.full ? this.#replaceAll(content) : this.#applyChanges(content)
    const live = liveOf(entries)
    const digest = this.#digests.of(live)
    if (!content.full && content.digest !== undefined && content.digest !== digest) return AdoptOutcome.Mismatch
    const { value, problems } = this.#parse(live, content.revision)
    if (problems.length > 0) {
      this.#rejected = { revision: content.revision, problems }
      return AdoptOutcome.Invalid
    }
    if (content.full) this.#deltaFloor = content.revision
    // Changes alone would not bring readers to the same order.
    if (content.full && this.#digests.of(liveOf(applyChanges(this.#entries, [...entries.values()]))) !== digest) this.#past.clear()
    this.#entries = this.#forgetOldDeletions(entries)
    this.#revision = content.revision
    this.#position = content.position
    this.#notePast(digest)
    this.#value = value
    this.#changed.notify()
    return AdoptOutcome.Adopted
  }

  /** The changes that a reader at `sinceRevision`, with the content of that digest, lacks. */
  changesSince (sinceRevision: number, digest?: string): RevisionedContent {
    const entries = [...this.#entries.values()]
    const pastRevision = digest === undefined ? undefined : this.#past.get(digest)
    const since = pastRevision ?? sinceRevision
    const known = { revision: this.#revision, ...this.#position && { position: this.#position } }
    return pastRevision === undefined && (sinceRevision < this.#deltaFloor || sinceRevision === 0)
      ? { ...known, full: true, changes: entries.filter(({ spec }) => spec !== null) }
      : { ...known, full: false, changes: entries.filter(({ revision }) => revision > since), digest: this.#digest }
  }

  /** All entries there are now. Those that stay the same remain the entries that they were, so that nothing is done for them again. */
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

  /** The change with the very spec that is in force here, if it is the same, so that a parser recognizes it. */
  #withKnownSpec (change: ContentChange): ContentChange {
    const known = this.#entries.get(idOf(change))
    return known && isDeepStrictEqual(known.spec, change.spec) ? { ...change, spec: known.spec } : change
  }

  #notePast (digest: string): void {
    this.#digest = digest
    this.#past.delete(digest)
    this.#past.set(digest, this.#revision)
    if (this.#past.size > MAX_PAST_CONTENTS) this.#past.delete(this.#past.keys().next().value as string)
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
    const id = idOf(change)
    const known = next.get(id)
    if (!known || known.revision < change.revision) next.set(id, change)
  })
  return next
}

function liveOf (entries: Map<string, ContentChange>): ContentChange[] {
  return [...entries.values()].filter(({ spec }) => spec !== null)
}

function idOf ({ kind, name }: ContentChange): string {
  return `${kind}/${name}`
}
