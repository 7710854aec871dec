export { planAccountBucket, planOwnShareBucket, planStandInBucket } from './planAccountBucket.js'
export type { LimitTolerance } from './planAccountBucket.js'
export { AccountMessages } from './accountMessages.js'
export { limitCost } from './limitCost.js'
