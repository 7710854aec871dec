/** The first value of a header in a list of names and values in turn, or nothing. */
export function headerValue (headers: readonly string[], name: string): string | undefined {
  const wanted = name.toLowerCase()
  const at = headers.findIndex((text, i) => i % 2 === 0 && text.length === wanted.length && text.toLowerCase() === wanted)
  return at < 0 ? undefined : headers[at + 1]
}

/** The headers without those whose lower-case names are given. */
export function withoutHeaders (headers: readonly string[], names: ReadonlySet<string>): string[] {
  return headers.filter((_, i) => !names.has(headers[i - i % 2].toLowerCase()))
}
