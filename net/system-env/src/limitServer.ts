import { type RequestListener, type Server } from 'node:http'
import { ConnectionGuard, type ConnectionGuardOptions } from './connectionGuard.js'
import { RequestsInProgress, type RequestsInProgressOptions } from './requestsInProgress.js'

export type LimitServerOptions = ConnectionGuardOptions & RequestsInProgressOptions

/** Serves the requests of a server with short requests and answers, such as for monitoring, within limits on its connections and on requests ahead. */
export function limitServer (server: Server, listener: RequestListener, opts: LimitServerOptions): ConnectionGuard {
  const inProgress = new RequestsInProgress(opts)
  inProgress.serve(server, listener)
  return new ConnectionGuard(server, { ...opts, closeLongestWaiting: () => inProgress.closeLongestWaiting() })
}
