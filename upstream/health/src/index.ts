export { UpstreamHealth } from './upstreamHealth.js'
export type { UpstreamHealthOptions } from './upstreamHealth.js'
export { UpstreamFailureReports as UpstreamReports } from './upstreamFailureReports.js'
export type { UpstreamFailureReport as UpstreamReport } from './upstreamFailureReports.js'
