import { ServiceClient, type ServiceCall, type ServiceReply, type UpstreamCallOptions } from '@reelspan/upstream.client'
import { Agent, request, type Dispatcher } from 'undici'
import { toUpstreamError } from './toUpstreamError.js'

/** Carries the request's key. A service may return it with the answer. */
export const REQUEST_KEY_HEADER = 'idempotency-key'

const CONNECT_TIMEOUT_MS = 1000

/** Calls plain services over HTTP. */
export class HttpServiceClient extends ServiceClient {
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } })

  async call (address: string, call: ServiceCall, { timeoutMs, signal }: UpstreamCallOptions): Promise<ServiceReply> {
    const { requestKey, method, path, contentType, body } = call
    try {
      const response = await request(`http://${address}${path}`, {
        dispatcher: this.#agent,
        method: method as Dispatcher.HttpMethod,
        signal,
        headers: { [REQUEST_KEY_HEADER]: requestKey, ...contentType && { 'content-type': contentType } },
        body: body.byteLength > 0 ? body : undefined,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      })
      return {
        // Without a returned key, the answer belongs to the call that HTTP paired it with.
        requestKey: String(response.headers[REQUEST_KEY_HEADER] ?? requestKey),
        status: response.statusCode,
        contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
        body: new Uint8Array(await response.body.arrayBuffer()),
      }
    } catch (thrown) {
      throw toUpstreamError(thrown, address)
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}
