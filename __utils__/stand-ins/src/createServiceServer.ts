import { type Server } from 'node:http'
import { type ServiceModel } from '@reelspan/utils.fakes'
import { jsonServer } from './jsonServer.js'

/** Serves a service model over HTTP; `GET /stand-in/runs` returns its runs by request key. */
export function createServiceServer (service: ServiceModel): Server {
  return jsonServer(async (ctx) => {
    if (ctx.path === '/stand-in/runs') {
      ctx.body = Object.fromEntries(service.runs)
      return
    }
    const reply = await service.call({ requestKey: ctx.get('idempotency-key'), method: ctx.method, path: ctx.path, body: new Uint8Array() })
    ctx.set('idempotency-key', reply.requestKey)
    ctx.set('content-type', reply.contentType)
    ctx.body = Buffer.from(reply.body)
  })
}
