export { UpstreamHealth } from './upstreamHealth.js'
export type { UpstreamHealthOptions } from './upstreamHealth.js'
