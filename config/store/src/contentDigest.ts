import { createHash } from 'node:crypto'
import { type ContentChange } from './revisionedContent.js'

/** Digests of whole contents: equal only if kinds, names, specs and, in each kind, the order are. An entry is digested once, as long as its object is kept. */
export class ContentDigest {
  readonly #ofEntries = new WeakMap<ContentChange, string>()

  of (entries: readonly ContentChange[]): string {
    // Where a kind stands among the others means nothing, and what is new comes last.
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
