export { Metrics } from './metrics.js'
export type { LabelledValue, Labels } from './metrics.js'
