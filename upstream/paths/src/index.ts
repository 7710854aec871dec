export { KindPaths } from './kindPaths.js'
export type { KindPathsOptions } from './kindPaths.js'
export { FailureCause, UpstreamPaths } from './upstreamPaths.js'
export type { LossEvidence, UpstreamPathsOptions } from './upstreamPaths.js'
