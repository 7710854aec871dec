import { createServer, type Server } from 'node:http'
import { type Box } from '@reelspan/box.runtime'
import { type Clock, STOPPED } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { tokensOfText } from '@reelspan/core.hashing'
import { type AnswerEvent, AnswerEventKind, type CompletionRequest, type FinalAnswer, RequestKind, type ServiceRequest } from '@reelspan/core.messages'
import { type ClientLimitListener, ConnectionGuard, createMemoryLimits, type MemoryLimits, onResponseEnded, readRequestBody, type RequestsInProgress, RequestTimeGuard, ResponseReader } from '@reelspan/net.system-env'
import Koa, { type Context } from 'koa'
import { answerStreamed, answerNonStreamed } from './answerCompletion.js'
import { Header } from './headers.js'
import { readOrCreateKey } from './readOrCreateKey.js'
import { parseCompletion } from './parseCompletion.js'
import { type CallOptions, DEFAULT_CLIENT, readCallOptions } from './readCallOptions.js'
import { setVerdict } from './setVerdict.js'

/** The parts of a box that serve callers. */
export type CallerBox = Pick<Box, 'ready' | 'admission' | 'configuration' | 'lookup' | 'submit' | 'cancel' | 'createKey'>

export interface CallerServerOptions {
  clock: Clock
  box: CallerBox
  headerBytes: number
  bodyBytes: number
  slowCallerMs: number
  /** Maximum time for the body of a request, and for its head if no other is declared. */
  requestReadMs: number
  /** Bounds the memory for answers and bodies. Created from the defaults of the settings if omitted. */
  memory?: MemoryLimits
  connections: number
  inProgress: RequestsInProgress
  /** Called with the guard of the server's connections. */
  onGuarded?: (guard: ConnectionGuard) => void
  onClosed?: ClientLimitListener
  /** Called when the server failed to accept a connection. */
  onAcceptError?: (error: Error) => void
}

const REQUEST_PATH = /^\/v1\/requests\/([^/]+)$/
const NOT_READY_RETRY_AFTER_MS = 1000
/** As in the settings. */
const DEFAULT_MEMORY = { answerBytes: 32_000_000, requestBytes: 32_000_000 }
const DEFAULT_IDLE_MS = 15_000
const SLOW_HEAD_RESPONSE = `HTTP/1.1 408 Request Timeout\r\n${Header.Verdict}: ${Verdict.NotRun}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`

type ServeOptions = CallerServerOptions & { memory: MemoryLimits, guard: RequestTimeGuard }

/** Creates the HTTP server for callers, which serves lookups, completions, calls to plain services and cancellations. */
export function createCallerServer (opts: CallerServerOptions): Server {
  const { clock, box, requestReadMs, slowCallerMs, memory = createMemoryLimits({ clock, slowCallerMs, ...DEFAULT_MEMORY }) } = opts
  const app = new Koa()
  app.silent = true
  app.use(async (ctx) => {
    ResponseReader.observe(memory.callers, ctx.res, ctx.get(Header.IdempotencyKey) || undefined)
    try {
      if (ctx.method === 'GET' && ctx.path === '/healthz') answerHealth(ctx, box.ready && box.admission.hasFreshProof && connectionGuard.acceptsConnections)
      else await serve(ctx, { ...opts, memory, guard })
    } catch (thrown) {
      answerError(ctx, toReelspanError(thrown))
    }
  })
  const server = createServer({ maxHeaderSize: opts.headerBytes })
  opts.inProgress.serve(server, app.callback())
  const guard = new RequestTimeGuard(server, {
    clock,
    headReadMs: () => box.configuration.callerLimits?.headerReadMs ?? requestReadMs,
    bodyReadMs: () => requestReadMs,
    idleMs: () => box.configuration.callerLimits?.idleMs ?? DEFAULT_IDLE_MS,
    slowHeadResponse: SLOW_HEAD_RESPONSE,
    onSlowRequest: memory.recordSlowRequest,
  })
  const connectionGuard = new ConnectionGuard(server, { maxConnections: opts.connections, closeLongestWaiting: () => opts.inProgress.closeLongestWaiting(), onClosed: opts.onClosed, onAcceptError: opts.onAcceptError })
  opts.onGuarded?.(connectionGuard)
  return server
}

function answerHealth (ctx: Context, ready: boolean): void {
  ctx.status = ready ? 200 : 503
  ctx.body = { ready }
}

async function serve (ctx: Context, opts: ServeOptions): Promise<void> {
  const { box } = opts
  if (!box.ready) throw new ReelspanError(ErrorCode.NotReady, 'this box has no configuration yet', { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
  const [, key] = REQUEST_PATH.exec(ctx.path) ?? []
  if (ctx.method === 'GET' && ctx.path === '/v1/lookup') return serveLookup(ctx, opts)
  if (ctx.method === 'POST' && ctx.path === '/v1/completions') return serveCompletion(ctx, opts)
  if (ctx.method === 'DELETE' && key !== undefined) return serveCancel(ctx, decodeURIComponent(key), opts)
  return serveCall(ctx, opts)
}

async function serveLookup (ctx: Context, { box }: CallerServerOptions): Promise<void> {
  const zone = ctx.query.availabilityZone
  const answer = await box.lookup(typeof zone === 'string' ? zone : undefined)
  ctx.set('cache-control', `max-age=${Math.floor(answer.keepMs / 1000)}`)
  ctx.body = answer
}

async function serveCancel (ctx: Context, key: string, { box }: CallerServerOptions): Promise<void> {
  await box.cancel(key)
  ctx.status = 204
}

async function serveCompletion (ctx: Context, opts: ServeOptions): Promise<void> {
  const { box } = opts
  const call = readCallOptions(ctx)
  const { request, stream } = parseCompletion(await readBody(ctx, opts), call, { configuration: box.configuration, createKey: () => box.createKey() })
  ctx.set(Header.IdempotencyKey, request.key)
  const sizeTokens = tokensOfText(request.prompt) + request.maxTokens
  const events = box.submit(await admitRequest(request, { box, call, sizeTokens }), callerDisconnected(ctx))
  const answerOpts = { model: request.model, key: request.key }
  if (stream) await answerStreamed(ctx, events, answerOpts)
  else await answerNonStreamed(ctx, events, answerOpts)
}

async function serveCall (ctx: Context, opts: ServeOptions): Promise<void> {
  const { box } = opts
  const call = readCallOptions(ctx)
  const route = box.configuration.routeOfCall(ctx.method, ctx.path)
  if (!route) throw new ReelspanError(ErrorCode.NoRoute, `no route matches ${ctx.method} ${ctx.path}`)
  const { spec } = route
  const notRepeatable = call.notRepeatable || spec.notRepeatable
  const request: ServiceRequest = {
    kind: RequestKind.Service,
    key: readOrCreateKey(call, notRepeatable, () => box.createKey()),
    route: route.name,
    client: call.client,
    notRepeatable,
    deadlineMs: Math.min(call.deadlineMs ?? spec.deadlineMs, spec.deadlineMs),
    method: ctx.method,
    path: ctx.url,
    contentType: ctx.get('content-type') || undefined,
    body: await readBody(ctx, opts),
  }
  ctx.set(Header.IdempotencyKey, request.key)
  await answerCall(ctx, box.submit(await admitRequest(request, { box, call }), callerDisconnected(ctx)))
}

/** Reads the body of a request, which counts against the budget until the response has ended. */
function readBody (ctx: Context, { bodyBytes, memory, guard }: ServeOptions): Promise<Uint8Array> {
  const account = memory.requests.open()
  onResponseEnded(ctx.res, () => account.release())
  return readRequestBody(ctx.req, { maxBytes: bodyBytes, account, signal: guard.signalOf(ctx.req) })
}

interface AdmitOptions {
  box: CallerBox
  call: CallOptions
  sizeTokens?: number
}

/**
 * Admits a request and returns it with the client account whose key was sent as its client, or with the default client
 * if there was no key. If no accounts are configured, the request keeps the client that it names.
 */
async function admitRequest<R extends CompletionRequest | ServiceRequest> (request: R, { box, call, sizeTokens }: AdmitOptions): Promise<R> {
  const { admission, configuration } = box
  if (!admission.usesAccounts) return request
  const open = configuration.route(request.route)?.open ?? false
  const { account } = await admission.admit({ id: request.key, open, keyDigest: call.accountKeyDigest, sizeTokens })
  return { ...request, client: account ?? DEFAULT_CLIENT }
}

async function answerCall (ctx: Context, events: AsyncGenerator<AnswerEvent>): Promise<void> {
  for await (const event of events) {
    if (event.kind === AnswerEventKind.Response) {
      ctx.set('content-type', event.contentType)
      ctx.status = event.status
      ctx.body = Buffer.from(event.body)
    }
    if (event.kind === AnswerEventKind.Final) {
      setVerdict(ctx, event, ctx.status)
      if (event.code !== undefined) ctx.body = errorBody(event)
    }
  }
}

/** Returns a signal that is aborted when the caller disconnects or the answer has been sent. */
function callerDisconnected (ctx: Context): AbortSignal {
  const disconnected = new AbortController()
  ctx.res.on('close', () => disconnected.abort(STOPPED))
  return disconnected.signal
}

function answerError (ctx: Context, error: ReelspanError): void {
  const { code, verdict, retryAfterMs, message, hint } = error
  const final: FinalAnswer = { kind: AnswerEventKind.Final, verdict, code, message: hint ? `${message}. ${hint}` : message, retryAfterMs, eventCount: 0 }
  setVerdict(ctx, final)
  // The rest of an unread body would be parsed as the next request.
  if (code === ErrorCode.BodyTooLarge || code === ErrorCode.RequestTooSlow) ctx.set('connection', 'close')
  ctx.body = errorBody(final)
}

function errorBody ({ code, message, verdict, retryAfterMs }: FinalAnswer) {
  return { error: { code, message }, reelspan: { verdict, code, message, retryAfterMs } }
}
