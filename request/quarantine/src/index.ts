export { BrokenRuns } from './brokenRuns.js'
export type { BrokenRun, BrokenRunsOptions } from './brokenRuns.js'
