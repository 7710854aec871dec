import { type Clock, withDeadline } from '@reelspan/core.env'
import { ConnectionPool, headerValue } from '@reelspan/net.http-exchange'
import { AnswerKind, type OversizedAnswerListener, readAnswer } from '@reelspan/net.system-env'
import { ServiceClient, type ServiceCall, type ServiceReply, type UpstreamCallOptions } from '@reelspan/upstream.client'
import { toUpstreamError } from './toUpstreamError.js'

/** Carries the request's key. A service may return it with the answer. */
export const REQUEST_KEY_HEADER = 'idempotency-key'

const CONNECT_TIMEOUT_MS = 1000
/** Replies are kept whole, and pass between boxes in one message of at most this size. */
const MAX_REPLY_BYTES = 16_000_000

export interface HttpServiceClientOptions {
  clock: Clock
  onOversized?: OversizedAnswerListener
}

/** Calls plain services over HTTP. Unlike common clients, it does not take an answer whose connection was reset for a whole one. */
export class HttpServiceClient extends ServiceClient {
  readonly #opts: HttpServiceClientOptions
  readonly #pool: ConnectionPool

  constructor (opts: HttpServiceClientOptions) {
    super()
    this.#opts = opts
    this.#pool = new ConnectionPool({ clock: opts.clock, connectTimeoutMs: CONNECT_TIMEOUT_MS })
  }

  async call (address: string, call: ServiceCall, opts: UpstreamCallOptions): Promise<ServiceReply> {
    const { requestKey, method, path, contentType, body } = call
    const headers = ['Host', address, REQUEST_KEY_HEADER, requestKey, ...contentType ? ['content-type', contentType] : []]
    try {
      return await withDeadline(this.#opts.clock, opts, async (signal) => {
        const answer = await this.#pool.exchange(address, { method, target: path, headers, body }, { signal })
        return {
          // Without a returned key, the answer belongs to the call that HTTP paired it with.
          requestKey: headerValue(answer.headers, REQUEST_KEY_HEADER) ?? requestKey,
          status: answer.status,
          contentType: headerValue(answer.headers, 'content-type') ?? 'application/octet-stream',
          body: await readAnswer(answer.body, { kind: AnswerKind.Service, address, maxBytes: MAX_REPLY_BYTES, onOversized: this.#opts.onOversized }),
        }
      })
    } catch (thrown) {
      throw toUpstreamError(thrown, address)
    }
  }

  async close (): Promise<void> {
    this.#pool.close()
  }
}
