export { Metrics } from './metrics.js'
export type { Labels } from './metrics.js'
