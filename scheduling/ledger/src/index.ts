export { ShardLedger } from './shardLedger.js'
export type { LedgerEntry, EngineAccount } from './shardLedger.js'
export { DecodeAccount } from './decodeAccount.js'
export { PrefillAccount } from './prefillAccount.js'
