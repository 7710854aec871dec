import { type Server } from 'node:http'
import { type Socket } from 'node:net'
import { ClientLimit, type ClientLimitListener, RequestsInProgress } from '@reelspan/net.system-env'

export interface LimitHandshakesOptions {
  /** How many connections may be open whose handshake is not complete, if that is more than a few. */
  maxPending: () => number
  onClosed?: ClientLimitListener
}

const UPGRADE_REQUIRED = 426
/** Enough for peers that connect while others use the connections up. */
const MIN_PENDING = 8

/**
 * Bounds the connections to a listener for WebSocket connections that have not become one. The oldest are closed first,
 * since a peer sends its handshake at once. Requests without an upgrade are refused.
 */
export function limitHandshakes (listener: Server, opts: LimitHandshakesOptions): void {
  /** In the order in which they were accepted. */
  const pending = new Set<Socket>()
  listener.on('connection', (socket) => {
    pending.add(socket)
    socket.once('close', () => pending.delete(socket))
    const excess = pending.size - Math.max(MIN_PENDING, opts.maxPending())
    if (excess <= 0) return
    [...pending].slice(0, excess).forEach((oldest) => {
      opts.onClosed?.(ClientLimit.Handshakes, 0)
      oldest.destroy()
    })
  })
  const inProgress = new RequestsInProgress({ maxAhead: 0, onClosed: opts.onClosed })
  listener.on('upgrade', ({ socket }) => {
    pending.delete(socket)
    inProgress.onUpgrade(socket)
  })
  inProgress.serve(listener, (_, response) => {
    response.writeHead(UPGRADE_REQUIRED, { Connection: 'close', Upgrade: 'websocket', 'Content-Length': 0 })
    response.end()
  })
}
