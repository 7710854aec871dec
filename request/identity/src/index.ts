export { hashOfCaller, hashOfPart, identityOfRelayed, identityOfRouted, sharedPartsOf } from './requestIdentity.js'
export type { RequestIdentity } from './requestIdentity.js'
export { once } from './once.js'
