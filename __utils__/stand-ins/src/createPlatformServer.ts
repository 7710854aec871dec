import { type Server } from 'node:http'
import { Collection } from '@reelspan/core.messages'
import { type PlatformModel } from '@reelspan/utils.fakes'
import { jsonServer } from './jsonServer.js'

/** Serves the platform's two collections: `GET /v1/<collection>?since=<revision>&waitMs=<ms>`. */
export function createPlatformServer (platform: PlatformModel): Server {
  return jsonServer(async (ctx) => {
    const collection = Object.values(Collection).find((name) => ctx.path === `/v1/${name}`)
    if (!collection) return
    const closed = new AbortController()
    ctx.res.on('close', () => closed.abort())
    ctx.body = await platform.read(collection, Number(ctx.query.since), Number(ctx.query.waitMs), closed.signal)
  })
}
