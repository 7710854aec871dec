/** Creates a value on the first call and returns the same value on later calls. */
export function once<T> (create: () => T): () => T {
  let cached: { value: T } | undefined
  return () => {
    cached ??= { value: create() }
    return cached.value
  }
}
