export { formatKeyPrefix, KEY_PREFIX_MARK } from './formatKeyPrefix.js'
export { parseRequestKey } from './parseRequestKey.js'
export type { KeyOwner, OwnedKey, PlainKey, RequestKey } from './requestKey.js'
