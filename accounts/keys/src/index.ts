export { Access, decideAccess } from './decideAccess.js'
export type { AccessDecision, AccessInputs } from './decideAccess.js'
export { keyDigest } from './keyDigest.js'
export { readBearerKeyDigest } from './readBearerKeyDigest.js'
