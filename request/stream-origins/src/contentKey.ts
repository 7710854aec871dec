/** No id of an attempt contains it, since header values cannot. */
const PREFIX = '\u0000'

/** Stands for the attempt that began a stream where its client does not name it. Requests of the same content share it. */
export function contentKey (content: string): string {
  return `${PREFIX}${content}`
}

export function isContentKey (attempt: string): boolean {
  return attempt.startsWith(PREFIX)
}
