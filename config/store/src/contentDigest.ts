import { createHash } from 'node:crypto'
import { type ContentChange } from './revisionedContent.js'

/** Digests of whole contents. Two digests are equal only if kinds, names, specs and the order within each kind are equal. The digest of an entry is cached by its object. */
export class ContentDigest {
  readonly #ofEntries = new WeakMap<ContentChange, string>()

  of (entries: readonly ContentChange[]): string {
    // The order of kinds is irrelevant and depends on when their entries arrived, so it is normalized.
    const byKind = entries.toSorted((a, b) => a.kind < b.kind ? -1 : a.kind > b.kind ? 1 : 0)
    return digestOf(byKind.map((entry) => this.#ofEntry(entry)).join())
  }

  #ofEntry (entry: ContentChange): string {
    const known = this.#ofEntries.get(entry)
    if (known !== undefined) return known
    const { kind, name, spec } = entry
    const digest = digestOf(JSON.stringify([kind, name, spec]))
    this.#ofEntries.set(entry, digest)
    return digest
  }
}

function digestOf (text: string): string {
  return createHash('sha1').update(text).digest('base64')
}
