import { type HoldLabel, holdLabelSchema } from '@reelspan/core.messages'
import { type CacheEventPage, type DecodeEvent, type DecodeRequest, EngineClient, type EngineOrder, type EngineReport, EngineRole, HoldKind, type PrefillRequest, type PrefillResult, type UpstreamCallOptions, UpstreamError } from '@reelspan/upstream.client'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'
import { parseDecodeEvent } from './parseDecodeEvent.js'
import { readLines } from './readLines.js'
import { toUpstreamError } from './toUpstreamError.js'

const prefillResultSchema = z.object({
  label: holdLabelSchema,
  kvBytes: z.number(),
  promptTokens: z.number(),
  cachedTokens: z.number(),
})

const reportSchema = z.object({
  role: z.enum(EngineRole),
  loaded: z.array(z.object({ model: z.string(), version: z.string() })),
  changing: z.boolean(),
  placesUsed: z.number(),
  placesTotal: z.number(),
  kvBytesUsed: z.number(),
  kvBytesTotal: z.number(),
  prefillQueueMs: z.number(),
  fence: z.number(),
  holds: z.array(z.object({
    label: holdLabelSchema,
    kind: z.enum(HoldKind),
    kvBytes: z.number(),
    tokensDone: z.number(),
  })),
})

const cacheEventsSchema = z.object({
  firstSequence: z.number(),
  nextSequence: z.number(),
  removedDigests: z.array(z.string()),
})

/** An engine's refusal says whether the engine had begun to run the request. */
const refusalSchema = z.object({ error: z.string(), begun: z.boolean() })

const CONNECT_TIMEOUT_MS = 1000

/** Calls engines over HTTP, with JSON for calls and JSON lines for decode streams. */
export class HttpEngineClient extends EngineClient {
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } })

  prefill (address: string, body: PrefillRequest, opts: UpstreamCallOptions): Promise<PrefillResult> {
    return this.#call(address, 'POST', '/v1/prefill', prefillResultSchema, opts, body)
  }

  async * decode (address: string, body: DecodeRequest, opts: UpstreamCallOptions): AsyncIterable<DecodeEvent> {
    try {
      const response = await this.#send(address, 'POST', '/v1/decode', opts, body)
      for await (const line of readLines(response.body)) yield parseDecodeEvent(line)
    } catch (thrown) {
      throw toUpstreamError(thrown, address)
    }
  }

  async release (address: string, label: HoldLabel, opts: UpstreamCallOptions): Promise<void> {
    await this.#call(address, 'POST', '/v1/release', z.unknown(), opts, { label })
  }

  report (address: string, opts: UpstreamCallOptions): Promise<EngineReport> {
    return this.#call(address, 'GET', '/v1/report', reportSchema, opts)
  }

  cacheEvents (address: string, sinceSequence: number, opts: UpstreamCallOptions): Promise<CacheEventPage> {
    return this.#call(address, 'GET', `/v1/cache-events?since=${sinceSequence}`, cacheEventsSchema, opts)
  }

  async order (address: string, order: EngineOrder, opts: UpstreamCallOptions): Promise<void> {
    await this.#call(address, 'POST', '/v1/orders', z.unknown(), opts, order)
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #call<T> (address: string, method: 'GET' | 'POST', path: string, schema: z.ZodType<T>, opts: UpstreamCallOptions, body?: object): Promise<T> {
    try {
      const response = await this.#send(address, method, path, opts, body)
      return schema.parse(await response.body.json())
    } catch (thrown) {
      throw toUpstreamError(thrown, address)
    }
  }

  async #send (address: string, method: 'GET' | 'POST', path: string, { timeoutMs, signal }: UpstreamCallOptions, body?: object): Promise<Dispatcher.ResponseData> {
    const response = await request(`http://${address}${path}`, {
      dispatcher: this.#agent,
      method,
      signal,
      headers: body && { 'content-type': 'application/json' },
      body: body && JSON.stringify(body),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    })
    if (response.statusCode === 200) return response
    // If the body is not a refusal, the error gives the status instead.
    const refusal = refusalSchema.safeParse(await response.body.json().catch(() => undefined))
    const text = refusal.success ? refusal.data.error : `status ${response.statusCode}`
    throw new UpstreamError(`${address}: ${text}`, { mayHaveRun: !refusal.success || refusal.data.begun, refused: refusal.success })
  }
}
