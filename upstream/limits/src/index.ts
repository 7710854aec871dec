export { StatedLimits } from './statedLimits.js'
export type { StatedLimitsOptions } from './statedLimits.js'
