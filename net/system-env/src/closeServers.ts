import { type Server } from 'node:http'

/**
 * Answers under way have this long to be taken: they were complete, or given up, before
 * the servers are closed. A connection on which no whole request has come has nothing to
 * wait for; a stop that waited for its client went on until the process was killed.
 */
const LAST_BYTES_MS = 200

/** Stops listening. Resolves once the answers under way are completed, or soon after. */
export async function closeServers (servers: readonly Server[]): Promise<void> {
  await Promise.all(servers.map(closeServer))
}

async function closeServer (server: Server): Promise<void> {
  const closed = new Promise((resolve) => server.close(resolve))
  server.closeIdleConnections()
  const late = setTimeout(() => server.closeAllConnections(), LAST_BYTES_MS)
  await closed
  clearTimeout(late)
}
