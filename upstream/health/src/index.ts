export { UpstreamHealth } from './upstreamHealth.js'
export type { UpstreamHealthOptions } from './upstreamHealth.js'
export { UpstreamReports } from './upstreamReports.js'
export type { UpstreamReport } from './upstreamReports.js'
