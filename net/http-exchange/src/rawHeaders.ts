/** Returns a header's first value from a list of alternating names and values, or undefined if it is missing. */
export function headerValue (headers: readonly string[], name: string): string | undefined {
  const lowerCaseName = name.toLowerCase()
  const index = headers.findIndex((text, i) => i % 2 === 0 && text.length === lowerCaseName.length && text.toLowerCase() === lowerCaseName)
  return index < 0 ? undefined : headers[index + 1]
}

/** Returns the headers without those whose lower-case names are given. */
export function withoutHeaders (headers: readonly string[], names: ReadonlySet<string>): string[] {
  return headers.filter((_, i) => !names.has(headers[i - i % 2].toLowerCase()))
}
