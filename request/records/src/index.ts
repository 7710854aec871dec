export { RequestRecord } from './requestRecord.js'
export { RecordStore } from './recordStore.js'
export type { RecordStoreOptions, ExportedRecord as PortableRecord, PredecessorIncarnation } from './recordStore.js'
