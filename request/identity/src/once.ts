/** Makes a value when it is first asked for, and the same one from then on. */
export function once<T> (make: () => T): () => T {
  let made: { value: T } | undefined
  return () => {
    made ??= { value: make() }
    return made.value
  }
}
