export { UpstreamStateMessages } from './upstreamStateMessages.js'
export { UpstreamStates } from './upstreamStates.js'
export type { UpstreamStatesOptions } from './upstreamStates.js'
