export { ClientShares } from './clientShares.js'
export type { ClientSharesOptions, WaitingDemand } from './clientShares.js'
export { fairLevel } from './fairLevel.js'
export type { WeightedDemand } from './fairLevel.js'
