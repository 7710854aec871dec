import { createHash } from 'node:crypto'

/** SHA-256 of a key, in hex: what is declared, kept and compared in place of the key. */
export function keyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
