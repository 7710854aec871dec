import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import { type Box } from '@reelspan/box.runtime'
import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError } from '@reelspan/core.error'
import { limitServer, type LimitServerOptions } from '@reelspan/net.system-env'
import Koa, { type Context } from 'koa'
import { z } from 'zod'
import { readBody } from './readBody.js'
import { statusOf } from './statusOf.js'

/** The parts of a box that serve operators. */
export type OperatorBox = Pick<Box, 'configuration' | 'resources' | 'lookup' | 'describe' | 'metricsText'>

export interface OperatorServerOptions {
  clock: Clock
  box: OperatorBox
  /** The bearer token that operators must send; without it no token is required. */
  token?: string
  bodyBytes: number
  /** What happens to connections. */
  listeners?: Omit<LimitServerOptions, 'maxConnections' | 'maxAhead'>
}

const RESOURCE_PATH = /^\/v1\/resources\/([^/]+)\/([^/]+)(\/status)?$/
const MAX_WATCH_MS = 60_000
/** Enough for the watches of several operators and for monitors that do not keep their connections. */
const MAX_CONNECTIONS = 64

const declarationsSchema = z.array(z.object({
  kind: z.string(),
  name: z.string(),
  revision: z.number().default(0),
  spec: z.unknown(),
}))

/** Creates the read-only HTTP server for operators, which serves resources, their status, watches, the state dump and metrics. */
export function createOperatorServer (opts: OperatorServerOptions): Server {
  const app = new Koa()
  app.silent = true
  app.use(async (ctx) => {
    try {
      checkToken(ctx, opts.token)
      await serve(ctx, opts)
    } catch (thrown) {
      const { code, verdict, message, hint } = toReelspanError(thrown)
      ctx.status = statusOf(code, verdict)
      ctx.body = { error: { code, message, hint } }
    }
  })
  const server = createServer()
  limitServer(server, app.callback(), { ...opts.listeners, maxConnections: MAX_CONNECTIONS, maxAhead: 0 })
  return server
}

function checkToken (ctx: Context, token: string | undefined): void {
  if (token === undefined) return
  const receivedToken = ctx.get('authorization').replace(/^Bearer /, '')
  if (!timingSafeEqual(digest(receivedToken), digest(token))) throw new ReelspanError(ErrorCode.Unauthorized, 'a valid bearer token is required')
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

async function serve (ctx: Context, opts: OperatorServerOptions): Promise<void> {
  const { box, bodyBytes } = opts
  const [, kind, name, status] = RESOURCE_PATH.exec(ctx.path) ?? []
  if (ctx.path === '/debug/state') ctx.body = box.describe()
  else if (ctx.path === '/metrics') ctx.body = box.metricsText()
  else if (ctx.path === '/v1/lookup') ctx.body = await box.lookup()
  else if (ctx.path === '/v1/resources') ctx.body = { revision: box.configuration.revision, resources: box.resources.list(singleValue(ctx.query.kind)) }
  else if (ctx.path === '/v1/watch') ctx.body = await watch(ctx, opts)
  else if (ctx.path === '/v1/check' && ctx.method === 'POST') ctx.body = { problems: box.resources.check(parseDeclarations(await readBody(ctx.req, bodyBytes))) }
  else if (kind && name) ctx.body = foundOrThrow(status ? await box.resources.status(kind, name) : box.resources.get(kind, name), kind, name)
  else throw new ReelspanError(ErrorCode.NoRoute, `no such endpoint: ${ctx.method} ${ctx.path}`)
}

async function watch (ctx: Context, { box, clock }: OperatorServerOptions) {
  const stop = new AbortController()
  ctx.res.on('close', () => stop.abort())
  const waitMs = Math.min(MAX_WATCH_MS, Number(singleValue(ctx.query.waitMs) ?? MAX_WATCH_MS))
  void clock.sleep(waitMs, { signal: stop.signal }).then(() => stop.abort())
  const answer = await box.resources.watch(Number(singleValue(ctx.query.since) ?? 0), stop.signal)
  stop.abort()
  return answer
}

function parseDeclarations (body: Uint8Array) {
  try {
    return declarationsSchema.parse(JSON.parse(Buffer.from(body).toString()))
  } catch (cause) {
    throw new ReelspanError(ErrorCode.BadRequest, 'expected a JSON list of resources with kind, name and spec', { cause })
  }
}

function foundOrThrow<T> (value: T | undefined, kind: string, name: string): T {
  if (value === undefined) throw new ReelspanError(ErrorCode.NoRoute, `no such resource: ${kind}/${name}`)
  return value
}

function singleValue (value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined
}
