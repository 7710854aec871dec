import { EntriesPrefixIndex } from './entriesPrefixIndex.js'

/** Assumes that a prefix stays cached for a fixed time after it was sent. */
export class TimeLimitPrefixIndex extends EntriesPrefixIndex {
  readonly #lifeMs: number

  constructor (maxEntriesPerEngine: number, lifeMs: number) {
    super(maxEntriesPerEngine)
    this.#lifeMs = lifeMs
  }

  recordRemovals (): void {}

  protected isProbablyCached (_engine: string, _digest: string, sentAtMs: number, nowMs: number): boolean {
    return nowMs - sentAtMs <= this.#lifeMs
  }
}
