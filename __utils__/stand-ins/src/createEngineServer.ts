import { type Server } from 'node:http'
import { Readable } from 'node:stream'
import { type DecodeEvent, type DecodeRequest, type EngineOrder, type PrefillRequest } from '@reelspan/upstream.client'
import { type HoldLabel } from '@reelspan/core.messages'
import { type EngineModel } from '@reelspan/utils.fakes'
import { type Context } from 'koa'
import { jsonServer, readJson } from './jsonServer.js'

/** Serves an engine model over HTTP. */
export function createEngineServer (engine: EngineModel): Server {
  return jsonServer(async (ctx) => {
    switch (ctx.path) {
      case '/v1/prefill':
        ctx.body = await engine.prefill(await readJson<PrefillRequest>(ctx))
        return
      case '/v1/decode':
        return streamDecode(ctx, engine, await readJson<DecodeRequest>(ctx))
      case '/v1/export':
        ctx.body = await engine.exportResult((await readJson<{ label: HoldLabel }>(ctx)).label)
        return
      case '/v1/release':
        engine.release((await readJson<{ label: HoldLabel }>(ctx)).label)
        ctx.body = {}
        return
      case '/v1/report':
        ctx.body = engine.report()
        return
      case '/v1/cache-events':
        ctx.body = engine.cacheEvents(Number(ctx.query.since))
        return
      case '/v1/orders':
        return acceptOrder(ctx, engine, await readJson<EngineOrder>(ctx))
      case '/stand-in/stats':
        ctx.body = { ...engine.stats, runs: engine.prefillRuns.length + engine.decodeRuns.length, placesUsed: engine.placesUsed, kvBytesUsed: engine.kvBytesUsed, kvBytesTotal: engine.kvBytesTotal }
    }
  })
}

async function streamDecode (ctx: Context, engine: EngineModel, request: DecodeRequest): Promise<void> {
  const events = engine.decode(request)
  const first = await events.next()
  if (first.done) return
  ctx.set('content-type', 'application/x-ndjson')
  ctx.body = Readable.from(jsonLines(first.value, events), { objectMode: true })
}

async function * jsonLines (first: DecodeEvent, rest: AsyncGenerator<DecodeEvent>): AsyncGenerator<string> {
  yield JSON.stringify(first) + '\n'
  for await (const event of rest) yield JSON.stringify(event) + '\n'
}

/** Responds once the engine has accepted the order, which it executes afterwards. */
async function acceptOrder (ctx: Context, engine: EngineModel, order: EngineOrder): Promise<void> {
  const execution = engine.order(order)
  await Promise.race([execution, new Promise((resolve) => setImmediate(resolve))])
  ctx.body = {}
}
