export { deriveShards } from './deriveShards.js'
export type { Shard } from './deriveShards.js'
export { schedulerOf } from './schedulerOf.js'
