import { checkResources, type CheckedSpecs } from './checkResources.js'
import { type Configuration } from './configuration.js'
import { type DeclaredResource } from './resource.js'

/**
 * Validates successive contents of a store. The result of validating a spec is cached
 * for as long as the store retains the spec object; references between resources are
 * checked each time.
 */
export class DeclarationsChecker {
  /** Resources validated by their schema so far. */
  checkedCount = 0
  readonly #cache: CheckedSpecs = new WeakMap()

  readonly parse = (entries: readonly DeclaredResource[], revision: number): { value: Configuration, problems: string[] } => {
    const { configuration, problems, checkedCount } = checkResources(entries, revision, { cache: this.#cache })
    this.checkedCount += checkedCount
    return { value: configuration, problems: problems.map(({ resource, field, message }) => `${resource}: ${field}: ${message}`) }
  }
}
