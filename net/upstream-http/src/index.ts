export { HttpEngineClient } from './httpEngineClient.js'
export type { HttpEngineClientOptions } from './httpEngineClient.js'
export { HttpServiceClient } from './httpServiceClient.js'
