export { RequestRecord } from './requestRecord.js'
export { RecordStore } from './recordStore.js'
export type { RecordStoreOptions, PortableRecord, TakenIncarnation } from './recordStore.js'
