import { type RequestListener, type Server } from 'node:http'
import { ConnectionGuard, type ConnectionGuardOptions } from './connectionGuard.js'
import { PipelineLimit, type PipelineLimitOptions } from './pipelineLimit.js'

export type LimitServerOptions = ConnectionGuardOptions & PipelineLimitOptions

/** Serves the requests of a server with short requests and answers, such as for monitoring, within limits on its connections and on requests ahead. */
export function limitServer (server: Server, listener: RequestListener, opts: LimitServerOptions): ConnectionGuard {
  new PipelineLimit(opts).serve(server, listener)
  return new ConnectionGuard(server, opts)
}
