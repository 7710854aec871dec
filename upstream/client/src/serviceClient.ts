import { type UpstreamCallOptions } from './engineClient.js'

export interface ServiceCall {
  requestKey: string
  method: string
  path: string
  contentType?: string
  body: Uint8Array
}

export interface ServiceReply {
  /** Key of the request that the service reports to have answered. */
  requestKey: string
  status: number
  contentType: string
  body: Uint8Array
}

/** Calls plain services. Throws `UpstreamError`. */
export abstract class ServiceClient {
  abstract call (address: string, call: ServiceCall, opts: UpstreamCallOptions): Promise<ServiceReply>
}
