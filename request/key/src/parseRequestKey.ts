import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { checksumOf, KEY_PREFIX_MARK } from './formatKeyPrefix.js'
import { type KeyOwner, type RequestKey } from './requestKey.js'

const OWNED_KEY = /^rs1-([\w-]+)-([0-9a-f]{8})\.([\w.~-]{1,128})$/
const PLAIN_KEY = /^[\w.~:-]{1,200}$/
const OWNER_FIELDS = /^([\d.:[\]a-f]+:\d+)\|([0-9a-f]+)\|(\d+)$/

/** Parses the value of an `Idempotency-Key` header. Throws `ERR_REELSPAN_KEY_INVALID`. */
export function parseRequestKey (text: string): RequestKey {
  if (!text.startsWith(KEY_PREFIX_MARK)) return parsePlainKey(text)
  const match = OWNED_KEY.exec(text)
  if (!match) throw invalidKey('expected «prefix.own-part», where the own part consists of letters, digits and . _ ~ -')
  const [, encoded, checksum] = match
  if (checksumOf(encoded) !== checksum) throw invalidKey('the checksum does not match; the key was altered or truncated')
  return { text, owner: parseOwner(encoded) }
}

function parsePlainKey (text: string): RequestKey {
  if (!PLAIN_KEY.test(text)) throw invalidKey('expected 1 to 200 letters, digits or . _ ~ : -')
  return { text }
}

function parseOwner (encoded: string): KeyOwner {
  const match = OWNER_FIELDS.exec(Buffer.from(encoded, 'base64url').toString())
  if (!match) throw invalidKey('the prefix does not name an owner')
  return { peerAddress: match[1], incarnation: match[2], issuedAtMs: Number(match[3]) }
}

function invalidKey (reason: string): ReelspanError {
  return new ReelspanError(ErrorCode.KeyInvalid, `Idempotency-Key: ${reason}`, {
    hint: 'Get a key prefix from GET /v1/lookup and send «keyPrefix.your-own-part».',
  })
}
