export { WsPeerLink } from './wsPeerLink.js'
export type { WsPeerLinkOptions, LinkTraffic } from './wsPeerLink.js'
