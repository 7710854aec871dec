export { createCallerServer } from './createCallerServer.js'
export type { CallerServerOptions } from './createCallerServer.js'
export { createOperatorServer } from './createOperatorServer.js'
export type { OperatorServerOptions } from './createOperatorServer.js'
