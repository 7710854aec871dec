import { EngineEntries } from './engineEntries.js'
import { type CachedPrefix, PrefixIndex } from './prefixIndex.js'

/** Base class of the indexes that keep the prefixes sent to each engine. */
export abstract class EntriesPrefixIndex extends PrefixIndex {
  readonly #maxEntriesPerEngine: number
  readonly #engines = new Map<string, EngineEntries>()

  constructor (maxEntriesPerEngine: number) {
    super()
    this.#maxEntriesPerEngine = maxEntriesPerEngine
  }

  get size (): number {
    return [...this.#engines.values()].reduce((sum, { size }) => sum + size, 0)
  }

  recordSent (engine: string, prefixes: readonly CachedPrefix[], nowMs: number): void {
    this.entriesOf(engine).recordSent(prefixes, nowMs)
  }

  cachedTokens (engine: string, prefixes: readonly CachedPrefix[], nowMs: number): number {
    const entries = this.entriesOf(engine)
    const longest = prefixes.findLast(({ digest }) => {
      const sentAtMs = entries.sentAtMs(digest)
      return sentAtMs !== undefined && this.isProbablyCached(engine, digest, sentAtMs, nowMs)
    })
    return longest?.tokens ?? 0
  }

  removeEngine (engine: string): void {
    this.#engines.delete(engine)
  }

  protected entriesOf (engine: string): EngineEntries {
    const known = this.#engines.get(engine)
    if (known) return known
    const entries = new EngineEntries(this.#maxEntriesPerEngine)
    this.#engines.set(engine, entries)
    return entries
  }

  protected abstract isProbablyCached (engine: string, digest: string, sentAtMs: number, nowMs: number): boolean
}
