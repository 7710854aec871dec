import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import { type Box } from '@reelspan/box.runtime'
import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError } from '@reelspan/core.error'
import Koa, { type Context } from 'koa'
import { z } from 'zod'
import { readBody } from './readBody.js'
import { statusOf } from './statusOf.js'

/** What operators need of a box. */
export type OperatorBox = Pick<Box, 'configuration' | 'resources' | 'lookup' | 'describe' | 'metricsText'>

export interface OperatorServerOptions {
  clock: Clock
  box: OperatorBox
  /** What operators must send as a bearer token, if anything. */
  token?: string
  bodyBytes: number
}

const RESOURCE_PATH = /^\/v1\/resources\/([^/]+)\/([^/]+)(\/status)?$/
const MAX_WATCH_MS = 60_000

const declaredSchema = z.array(z.object({
  kind: z.string(),
  name: z.string(),
  revision: z.number().default(0),
  spec: z.unknown(),
}))

/** The HTTP server for operators: resources, status, watches, the state dump and metrics. It changes nothing. */
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
  return createServer(app.callback())
}

function checkToken (ctx: Context, token: string | undefined): void {
  if (token === undefined) return
  const given = ctx.get('authorization').replace(/^Bearer /, '')
  if (!timingSafeEqual(digest(given), digest(token))) throw new ReelspanError(ErrorCode.Unauthorized, 'a bearer token is needed')
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
  else if (ctx.path === '/v1/resources') ctx.body = { revision: box.configuration.revision, resources: box.resources.list(textOf(ctx.query.kind)) }
  else if (ctx.path === '/v1/watch') ctx.body = await watch(ctx, opts)
  else if (ctx.path === '/v1/check' && ctx.method === 'POST') ctx.body = { problems: box.resources.check(parseDeclared(await readBody(ctx.req, bodyBytes))) }
  else if (kind && name) ctx.body = found(status ? await box.resources.status(kind, name) : box.resources.get(kind, name), kind, name)
  else throw new ReelspanError(ErrorCode.NoRoute, `there is no ${ctx.method} ${ctx.path}`)
}

async function watch (ctx: Context, { box, clock }: OperatorServerOptions) {
  const stop = new AbortController()
  ctx.res.on('close', () => stop.abort())
  const waitMs = Math.min(MAX_WATCH_MS, Number(textOf(ctx.query.waitMs) ?? MAX_WATCH_MS))
  void clock.sleep(waitMs, { signal: stop.signal }).then(() => stop.abort())
  const answer = await box.resources.watch(Number(textOf(ctx.query.since) ?? 0), stop.signal)
  stop.abort()
  return answer
}

function parseDeclared (body: Uint8Array) {
  try {
    return declaredSchema.parse(JSON.parse(Buffer.from(body).toString()))
  } catch (cause) {
    throw new ReelspanError(ErrorCode.BadRequest, 'expected a JSON list of resources with kind, name and spec', { cause })
  }
}

function found<T> (value: T | undefined, kind: string, name: string): T {
  if (value === undefined) throw new ReelspanError(ErrorCode.NoRoute, `there is no ${kind}/${name}`)
  return value
}

function textOf (value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined
}
