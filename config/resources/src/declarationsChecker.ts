import { checkResources, type CheckedSpecs } from './checkResources.js'
import { type Configuration } from './configuration.js'
import { type DeclaredResource } from './resource.js'

/**
 * Checks one content after the other for a store. What a schema says of a spec is
 * remembered as long as the store keeps that very object; references between
 * resources are looked at each time.
 */
export class DeclarationsChecker {
  /** Resources that were checked by their schema so far. */
  checkedCount = 0
  readonly #checkedBefore: CheckedSpecs = new WeakMap()

  readonly parse = (entries: readonly DeclaredResource[], revision: number): { value: Configuration, problems: string[] } => {
    const { configuration, problems, checkedCount } = checkResources(entries, revision, { checkedBefore: this.#checkedBefore })
    this.checkedCount += checkedCount
    return { value: configuration, problems: problems.map(({ resource, field, message }) => `${resource}: ${field}: ${message}`) }
  }
}
