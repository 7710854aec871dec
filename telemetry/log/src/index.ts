export { Log, LogEvent } from './log.js'
export type { LogFields } from './log.js'
export { BunyanLog } from './bunyanLog.js'
export { BoundedLineStream } from './boundedLineStream.js'
