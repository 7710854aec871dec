import { PrefixIndex } from './prefixIndex.js'

/** Keeps no entries: the baseline without prefix locality. */
export class NoPrefixIndex extends PrefixIndex {
  recordSent (): void {}

  cachedTokens (): number {
    return 0
  }

  recordRemovals (): void {}

  removeEngine (): void {}

  get size (): number {
    return 0
  }
}
