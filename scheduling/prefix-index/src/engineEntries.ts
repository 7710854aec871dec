import { type CachedPrefix } from './prefixIndex.js'

/** A bounded LRU of the prefixes sent to one engine, with the time of the last send. */
export class EngineEntries {
  readonly #maxEntries: number
  readonly #sentAtMs = new Map<string, number>()

  constructor (maxEntries: number) {
    this.#maxEntries = maxEntries
  }

  get size (): number {
    return this.#sentAtMs.size
  }

  recordSent (prefixes: readonly CachedPrefix[], nowMs: number): void {
    prefixes.forEach(({ digest }) => {
      this.#sentAtMs.delete(digest)
      this.#sentAtMs.set(digest, nowMs)
    })
    const surplus = this.#sentAtMs.size - this.#maxEntries
    if (surplus > 0) [...this.#sentAtMs.keys()].slice(0, surplus).forEach((digest) => this.#sentAtMs.delete(digest))
  }

  sentAtMs (digest: string): number | undefined {
    return this.#sentAtMs.get(digest)
  }

  remove (digest: string): void {
    this.#sentAtMs.delete(digest)
  }
}
