export { hash32 } from './hash32.js'
export { rankByRendezvous } from './rankByRendezvous.js'
export { prefixDigests, PREFIX_BLOCK_TOKENS, CHARS_PER_TOKEN, tokensOfText } from './prefixDigests.js'
export type { PrefixDigest } from './prefixDigests.js'
