export { accountBucket } from './accountBucket.js'
export type { LimitTolerance } from './accountBucket.js'
export { AccountMessages } from './accountMessages.js'
export { limitCost } from './limitCost.js'
