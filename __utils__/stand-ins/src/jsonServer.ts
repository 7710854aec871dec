import { createServer, type Server } from 'node:http'
import Koa, { type Context } from 'koa'
import { UpstreamError } from '@reelspan/upstream.client'

/** Serves JSON. The response to a thrown `UpstreamError` says whether the request may have run. */
export function jsonServer (serve: (ctx: Context) => Promise<void>): Server {
  const app = new Koa()
  app.silent = true
  app.use(async (ctx) => {
    try {
      await serve(ctx)
    } catch (thrown) {
      const error = thrown instanceof UpstreamError ? thrown : undefined
      ctx.status = error?.refused ? 409 : 500
      ctx.body = { error: String(thrown), begun: error?.verdict !== 'notRun' }
    }
  })
  const server = createServer(app.callback())
  server.keepAliveTimeout = 60_000
  return server
}

export async function readJson<T> (ctx: Context): Promise<T> {
  const chunks: Uint8Array[] = []
  for await (const chunk of ctx.req) chunks.push(chunk)
  return JSON.parse(Buffer.concat(chunks).toString())
}
