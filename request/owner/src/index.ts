export { Owner } from './owner.js'
export type { OwnerOptions, OwnerEvents, Standing } from './owner.js'
export { RetryBudget } from './retryBudget.js'
export type { RequestTimings } from './requestTimings.js'
