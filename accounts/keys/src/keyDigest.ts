import { createHash } from 'node:crypto'

/** SHA-256 of a key in hex. It is declared, stored and compared instead of the key. */
export function keyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
