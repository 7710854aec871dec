export { WsPeerLink } from './wsPeerLink.js'
export type { WsPeerLinkOptions } from './wsPeerLink.js'
export type { LinkTraffic } from './linkTraffic.js'
