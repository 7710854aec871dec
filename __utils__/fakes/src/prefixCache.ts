import { type PrefixDigest } from '@reelspan/core.hashing'
import { type CacheEventPage } from '@reelspan/upstream.client'

const MAX_EVENTS = 500

/** LRU prefix cache of a fake engine. Its eviction events become visible after a delay. */
export class PrefixCache {
  readonly #capacityTokens: number
  readonly #lagMs: number
  /** Number of tokens that each cached prefix adds to the next shorter one, least recently used first. */
  readonly #segments = new Map<string, number>()
  #usedTokens = 0
  #events: { sequence: number, digest: string, atMs: number }[] = []
  #nextSequence = 1

  constructor (capacityTokens: number, lagMs: number) {
    this.#capacityTokens = capacityTokens
    this.#lagMs = lagMs
  }

  /** Number of tokens of the longest cached prefix. */
  peek (prefixes: readonly PrefixDigest[]): number {
    return prefixes.findLast(({ digest }) => this.#segments.has(digest))?.tokens ?? 0
  }

  /** Like `peek`, but marks the prefixes as used. */
  touch (prefixes: readonly PrefixDigest[]): number {
    const cachedTokens = this.peek(prefixes)
    prefixes.filter(({ tokens, digest }) => tokens <= cachedTokens && this.#segments.has(digest)).forEach(({ digest }) => {
      const tokens = this.#segments.get(digest) as number
      this.#segments.delete(digest)
      this.#segments.set(digest, tokens)
    })
    return cachedTokens
  }

  insert (prefixes: readonly PrefixDigest[], nowMs: number, loseEvents: boolean): void {
    prefixes.forEach(({ digest, tokens }, i) => {
      if (this.#segments.has(digest)) return
      const segmentTokens = tokens - (prefixes[i - 1]?.tokens ?? 0)
      this.#segments.set(digest, segmentTokens)
      this.#usedTokens += segmentTokens
    })
    while (this.#usedTokens > this.#capacityTokens) this.#evictOldest(nowMs, loseEvents)
  }

  events (sinceSequence: number, nowMs: number): CacheEventPage {
    const visible = this.#events.filter(({ atMs }) => atMs <= nowMs - this.#lagMs)
    const page = visible.filter(({ sequence }) => sequence >= sinceSequence)
    const nextSequence = (visible.at(-1)?.sequence ?? Math.max(0, sinceSequence - 1)) + 1
    const oldest = this.#events.at(0)?.sequence ?? this.#nextSequence
    return { firstSequence: Math.max(sinceSequence, Math.min(oldest, nextSequence)), nextSequence, removedDigests: page.map(({ digest }) => digest) }
  }

  #evictOldest (nowMs: number, loseEvents: boolean): void {
    const [digest, tokens] = this.#segments.entries().next().value as [string, number]
    this.#segments.delete(digest)
    this.#usedTokens -= tokens
    if (!loseEvents) this.#events.push({ sequence: this.#nextSequence, digest, atMs: nowMs })
    this.#nextSequence++
    this.#events = this.#events.slice(-MAX_EVENTS)
  }
}
