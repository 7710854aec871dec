export { HttpEngineClient } from './httpEngineClient.js'
export { HttpServiceClient } from './httpServiceClient.js'
