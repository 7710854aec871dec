import { keyDigest } from './keyDigest.js'

const BEARER = /^bearer +(\S+)$/i
/** Matches the digest of no key. */
const INVALID_KEY_DIGEST = ''

/**
 * Returns the digest of the key in a request's `Authorization` headers, or undefined if there are none. If they are not
 * a single bearer key, the digest is one that no account has.
 */
export function readBearerKeyDigest (authorization: readonly string[]): string | undefined {
  if (authorization.length === 0) return undefined
  const [, key] = (authorization.length === 1 && BEARER.exec(authorization[0].trim())) || []
  return key === undefined ? INVALID_KEY_DIGEST : keyDigest(key)
}
