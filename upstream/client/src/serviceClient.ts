import { type UpstreamCallOptions } from './engineClient.js'

export interface ServiceCall {
  requestKey: string
  method: string
  path: string
  contentType?: string
  body: Uint8Array
}

export interface ServiceReply {
  /** The request that the service says this answers. */
  requestKey: string
  status: number
  contentType: string
  body: Uint8Array
}

/** Talks to plain services. Throws `UpstreamError`. */
export abstract class ServiceClient {
  abstract call (address: string, call: ServiceCall, opts: UpstreamCallOptions): Promise<ServiceReply>
}
