export { UpstreamHealth } from './upstreamHealth.js'
export type { OutcomeOptions, Suspicion, UpstreamHealthOptions } from './upstreamHealth.js'
export { UpstreamFailureReports } from './upstreamFailureReports.js'
export type { UpstreamFailureReport } from './upstreamFailureReports.js'
