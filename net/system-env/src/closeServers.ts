import { type Server } from 'node:http'

/**
 * How long clients may take to receive the rest of their answers, all of which were completed
 * or cancelled before the servers are closed. Connections are closed after that, since a client
 * that never sends a complete request would delay the stop until the process is killed.
 */
const CLOSE_TIMEOUT_MS = 200

/** Stops listening. Resolves once the answers in progress have been sent, or after a short timeout. */
export async function closeServers (servers: readonly Server[]): Promise<void> {
  await Promise.all(servers.map(closeServer))
}

async function closeServer (server: Server): Promise<void> {
  // After a pause, timers fire before requests are read that arrived meanwhile, on connections that count as idle.
  await nextTurn()
  await nextTurn()
  const closed = new Promise((resolve) => server.close(resolve))
  server.closeIdleConnections()
  const forceCloseTimer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS)
  await closed
  clearTimeout(forceCloseTimer)
}

function nextTurn (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
