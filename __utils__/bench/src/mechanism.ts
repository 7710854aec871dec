/** A mechanism, the source change that disables it, and the tests that must then fail. */
export interface Mechanism {
  name: string
  file: string
  find: string
  replace: string
  /** Compiled test files. */
  tests: string[]
}
