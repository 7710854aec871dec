export { UpstreamHealth } from './upstreamHealth.js'
export type { UpstreamHealthOptions } from './upstreamHealth.js'
export { UpstreamFailureReports } from './upstreamFailureReports.js'
export type { UpstreamFailureReport } from './upstreamFailureReports.js'
