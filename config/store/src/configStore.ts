import { isDeepStrictEqual } from 'node:util'
import { Notifier } from '@reelspan/core.env'
import { type ContentChange, type RevisionedContent } from './revisionedContent.js'

export enum AdoptOutcome {
  Adopted = 'adopted',
  NotNewer = 'notNewer',
  Invalid = 'invalid',
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

/**
 * One collection as it is in force at this box. Its revision never falls: only
 * a higher one is adopted, and only if the whole of it is valid.
 */
export class ConfigStore<T> {
  readonly #parse: ContentParser<T>
  readonly #changed = new Notifier()
  #entries = new Map<string, ContentChange>()
  #revision = 0
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
    const entries = applyChanges(content.full ? new Map() : this.#entries, content.changes.map((change) => this.#withKnownSpec(change)))
    const { value, problems } = this.#parse([...entries.values()].filter(({ spec }) => spec !== null), content.revision)
    if (problems.length > 0) {
      this.#rejected = { revision: content.revision, problems }
      return AdoptOutcome.Invalid
    }
    if (content.full) this.#deltaFloor = content.revision
    this.#entries = this.#forgetOldDeletions(entries)
    this.#revision = content.revision
    this.#value = value
    this.#changed.notify()
    return AdoptOutcome.Adopted
  }

  /** The changes that a reader at `sinceRevision` lacks. */
  changesSince (sinceRevision: number): RevisionedContent {
    const entries = [...this.#entries.values()]
    return sinceRevision < this.#deltaFloor || sinceRevision === 0
      ? { revision: this.#revision, full: true, changes: entries.filter(({ spec }) => spec !== null) }
      : { revision: this.#revision, full: false, changes: entries.filter(({ revision }) => revision > sinceRevision) }
  }

  /** The change with the very spec that is in force here, if it is the same, so that a parser recognizes it. */
  #withKnownSpec (change: ContentChange): ContentChange {
    const known = this.#entries.get(idOf(change))
    return known && isDeepStrictEqual(known.spec, change.spec) ? { ...change, spec: known.spec } : change
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

function idOf ({ kind, name }: ContentChange): string {
  return `${kind}/${name}`
}
