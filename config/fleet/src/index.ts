export { FleetList } from './fleetList.js'
export { parseFleetList } from './parseFleetList.js'
export { boxSpecSchema, FleetEntryKind, upstreamSpecSchema, UpstreamKind } from './entries.js'
export type { ListedBox, ListedUpstream } from './entries.js'
