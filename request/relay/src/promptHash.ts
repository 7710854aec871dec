import { hash32 } from '@reelspan/core.hashing'
import { type RelayedRequest } from '@reelspan/upstream.client'

/** Hash that correlates a caller's attempts, which have different ids. */
export function promptHash ({ prompt }: RelayedRequest): string | undefined {
  const fullPrompt = prompt?.prefixes.at(-1)
  return fullPrompt && hash32(fullPrompt.digest).toString(36)
}
