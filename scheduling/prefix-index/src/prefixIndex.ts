/** A prompt's first `tokens` tokens, named by their digest. */
export interface CachedPrefix {
  digest: string
  tokens: number
}

/** What an engine says it dropped. Late, and with gaps. */
export interface RemovalPage {
  removedDigests: readonly string[]
  /** Events before this page were lost. */
  afterGap: boolean
}

/** A guess, with an age, of which prefixes an engine has cached. */
export abstract class PrefixIndex {
  /** The engine was sent a prompt with these prefixes. */
  abstract noteSent (engine: string, prefixes: readonly CachedPrefix[], nowMs: number): void

  /** Tokens of the longest prefix that the engine probably has. */
  abstract cachedTokens (engine: string, prefixes: readonly CachedPrefix[], nowMs: number): number

  abstract recordRemovals (engine: string, page: RemovalPage, nowMs: number): void

  abstract removeEngine (engine: string): void

  /** Entries held, for the dump. */
  abstract get size (): number
}
