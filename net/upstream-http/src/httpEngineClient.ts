import { type Clock } from '@reelspan/core.env'
import { type HoldLabel, holdLabelSchema } from '@reelspan/core.messages'
import { type ReadBound, AnswerKind, type OversizedAnswerListener, readAnswer } from '@reelspan/net.system-env'
import { type CacheEventPage, type DecodeEvent, type DecodeRequest, EngineClient, type EngineOrder, type EngineReport, EngineRole, HoldKind, type PrefillRequest, type PrefillResult, type UpstreamCallOptions, UpstreamError } from '@reelspan/upstream.client'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'
import { chunksWithin } from './chunksWithin.js'
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
/** A report of ten thousand holds, or a page of as many cache events, of some 400 bytes each. */
const MAX_CALL_BYTES = 4_000_000
/** An event holds a token and the label of its request. */
const MAX_EVENT_BYTES = 65_536
/** A refusal holds a short text. */
const MAX_REFUSAL_BYTES = 65_536

export interface HttpEngineClientOptions {
  clock: Clock
  onOversized?: OversizedAnswerListener
}

interface JsonBound extends Pick<ReadBound, 'kind' | 'maxBytes'> {
  timeoutMs: number
}

/** Calls engines over HTTP, with JSON for calls and JSON lines for decode streams. */
export class HttpEngineClient extends EngineClient {
  readonly #opts: HttpEngineClientOptions
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } })

  constructor (opts: HttpEngineClientOptions) {
    super()
    this.#opts = opts
  }

  prefill (address: string, body: PrefillRequest, opts: UpstreamCallOptions): Promise<PrefillResult> {
    return this.#call(address, 'POST', '/v1/prefill', prefillResultSchema, opts, body)
  }

  async * decode (address: string, body: DecodeRequest, opts: UpstreamCallOptions): AsyncIterable<DecodeEvent> {
    // An engine may begin the answer again, but sends no more than the whole of it.
    const maxEvents = body.firstIndex + body.maxTokens + 1
    let events = 0
    let ended = false
    try {
      const response = await this.#send(address, 'POST', '/v1/decode', opts, body)
      const bound = { kind: AnswerKind.Event, address, maxBytes: MAX_EVENT_BYTES, onOversized: this.#opts.onOversized }
      for await (const line of readLines(response.body, { clock: this.#opts.clock, bound, timeoutMs: opts.timeoutMs })) {
        // What follows the end belongs to no request.
        if (ended) return
        if (++events > maxEvents) throw new Error(`more than ${maxEvents} events`)
        const event = parseDecodeEvent(line)
        ended = event.end === true
        yield event
      }
    } catch (thrown) {
      if (!ended) throw toUpstreamError(thrown, address)
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
      return schema.parse(await this.#readJson(address, response, { kind: AnswerKind.EngineCall, maxBytes: MAX_CALL_BYTES, ...opts }))
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
    const refusal = refusalSchema.safeParse(await this.#readJson(address, response, { kind: AnswerKind.Error, maxBytes: MAX_REFUSAL_BYTES, timeoutMs }).catch(() => undefined))
    const text = refusal.success ? refusal.data.error : `status ${response.statusCode}`
    throw new UpstreamError(`${address}: ${text}`, { mayHaveRun: !refusal.success || refusal.data.begun, refused: refusal.success })
  }

  async #readJson (address: string, { body }: Dispatcher.ResponseData, { kind, maxBytes, timeoutMs }: JsonBound): Promise<unknown> {
    const { clock, onOversized } = this.#opts
    return JSON.parse((await readAnswer(chunksWithin(body, { clock, timeoutMs }), { kind, maxBytes, address, onOversized })).toString())
  }
}
