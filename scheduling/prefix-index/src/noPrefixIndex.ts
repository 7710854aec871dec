import { PrefixIndex } from './prefixIndex.js'

/** Knows nothing: the baseline without prefix locality. */
export class NoPrefixIndex extends PrefixIndex {
  noteSent (): void {}

  cachedTokens (): number {
    return 0
  }

  noteRemovals (): void {}

  forgetEngine (): void {}

  get size (): number {
    return 0
  }
}
