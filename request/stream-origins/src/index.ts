export { OriginRecords } from './originRecords.js'
export { OriginSource, StreamOrigins } from './streamOrigins.js'
export type { FoundOrigin, OriginQuery, StreamOriginsOptions, UnknownOrigin } from './streamOrigins.js'
export { VersionHistory } from './versionHistory.js'
