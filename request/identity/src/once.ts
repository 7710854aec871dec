/** Makes a value when it is first asked for, and the same one from then on. */
export function once<T> (create: () => T): () => T {
  let cached: { value: T } | undefined
  return () => {
    cached ??= { value: create() }
    return cached.value
  }
}
