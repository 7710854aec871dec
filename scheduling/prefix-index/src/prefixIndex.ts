/** The first `tokens` tokens of a prompt, identified by their digest. */
export interface CachedPrefix {
  digest: string
  tokens: number
}

/** Cache removals reported by an engine. Reports are delayed and may have gaps. */
export interface RemovalPage {
  removedDigests: readonly string[]
  /** Events before this page were lost. */
  afterGap: boolean
}

/** Estimates which prefixes each engine has cached. */
export abstract class PrefixIndex {
  /** Records that a prompt with these prefixes was sent to the engine. */
  abstract recordSent (engine: string, prefixes: readonly CachedPrefix[], nowMs: number): void

  /** Number of tokens of the longest prefix that the engine has probably cached. */
  abstract cachedTokens (engine: string, prefixes: readonly CachedPrefix[], nowMs: number): number

  abstract recordRemovals (engine: string, page: RemovalPage, nowMs: number): void

  abstract removeEngine (engine: string): void

  /** Number of entries, for the state dump. */
  abstract get size (): number
}
