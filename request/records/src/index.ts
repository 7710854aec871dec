export { RequestRecord } from './requestRecord.js'
export { RecordStore } from './recordStore.js'
export type { RecordStoreOptions, ExportedRecord, PredecessorIncarnation } from './recordStore.js'
