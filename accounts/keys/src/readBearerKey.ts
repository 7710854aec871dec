import { keyDigest } from './keyDigest.js'

const BEARER = /^bearer +(\S+)$/i
/** The digest of no key. */
const NO_KEYS_DIGEST = ''

/**
 * The digest of the key in a request's `Authorization` headers, or nothing when it has none. One that is not a
 * single bearer key has a digest that no account has.
 */
export function readBearerKey (authorization: readonly string[]): string | undefined {
  if (authorization.length === 0) return undefined
  const [, key] = (authorization.length === 1 && BEARER.exec(authorization[0].trim())) || []
  return key === undefined ? NO_KEYS_DIGEST : keyDigest(key)
}
