const PREFIX = 'content:'

/** Stands for the attempt that began a stream where its client does not name it. Requests of the same content share it. */
export function contentKey (content: string): string {
  return `${PREFIX}${content}`
}

export function isContentKey (attempt: string): boolean {
  return attempt.startsWith(PREFIX)
}
