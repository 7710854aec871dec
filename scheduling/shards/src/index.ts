export { deriveShards, enginesOf } from './deriveShards.js'
export type { Shard } from './deriveShards.js'
export { ownPrefillMs, slotsWithinTarget, prefillMs, requestKvBytes, transferMs } from './shardTimes.js'
export { schedulerOf } from './schedulerOf.js'
