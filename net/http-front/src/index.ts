export { createCallerServer } from './createCallerServer.js'
export type { CallerBox, CallerServerOptions } from './createCallerServer.js'
export { createOperatorServer } from './createOperatorServer.js'
export type { OperatorBox, OperatorServerOptions } from './createOperatorServer.js'
