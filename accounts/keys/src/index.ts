export { Access, decideAccess } from './decideAccess.js'
export type { AccessDecision, AccessQuestion } from './decideAccess.js'
export { keyDigest } from './keyDigest.js'
export { readBearerKey } from './readBearerKey.js'
