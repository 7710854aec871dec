import { createHash } from 'node:crypto'
import { type KeyOwner } from './requestKey.js'

/** Start of every key prefix that a box issues. */
export const KEY_PREFIX_MARK = 'rs1-'

const CHECKSUM_CHARS = 8

/** Formats the prefix that names `owner`, without the terminating dot. It is not secret; its checksum only detects typing errors. */
export function formatKeyPrefix (owner: KeyOwner): string {
  const fields = `${owner.peerAddress}|${owner.incarnation}|${Math.floor(owner.issuedAtMs)}`
  const encoded = Buffer.from(fields).toString('base64url')
  return `${KEY_PREFIX_MARK}${encoded}-${checksumOf(encoded)}`
}

/** Checksum of the encoded fields. */
export function checksumOf (encoded: string): string {
  return createHash('sha256').update(encoded).digest('hex').slice(0, CHECKSUM_CHARS)
}
