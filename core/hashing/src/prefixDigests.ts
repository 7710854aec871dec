import { createHash } from 'node:crypto'

/** Tokens in one cached block of a prompt. */
export const PREFIX_BLOCK_TOKENS = 64

/** Reelspan has no tokenizer and counts this many characters as one token. */
export const CHARS_PER_TOKEN = 4

/** Digest of a prompt's first `tokens` tokens. */
export interface PrefixDigest {
  digest: string
  tokens: number
}

const BLOCK_CHARS = PREFIX_BLOCK_TOKENS * CHARS_PER_TOKEN
const DIGEST_CHARS = 12

/** Estimated number of tokens of a text. */
export function tokensOfText (text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN))
}

/**
 * Digests of a prompt's prefixes, shortest first, at block counts 1, 2, 3, 4,
 * 6, 8, 12, 16, 24, … The growing distances keep the list near twenty entries
 * for the longest prompts; a match covers at least two thirds of the common prefix.
 */
export function prefixDigests (prompt: string): PrefixDigest[] {
  const hash = createHash('sha1')
  let hashedChars = 0
  return prefixBoundaries(Math.floor(prompt.length / BLOCK_CHARS)).map((blocks) => {
    const endChars = blocks * BLOCK_CHARS
    hash.update(prompt.slice(hashedChars, endChars))
    hashedChars = endChars
    return { digest: hash.copy().digest('hex').slice(0, DIGEST_CHARS), tokens: blocks * PREFIX_BLOCK_TOKENS }
  })
}

function prefixBoundaries (blockCount: number): number[] {
  const boundaries: number[] = []
  for (let power = 1; power <= blockCount; power *= 2) {
    boundaries.push(power)
    const between = power * 1.5
    if (Number.isInteger(between) && between <= blockCount) boundaries.push(between)
  }
  return boundaries
}
