import { type Server } from 'node:http'

/** Stops listening. Resolves once the answers under way are completed. */
export async function closeServers (servers: readonly Server[]): Promise<void> {
  await Promise.all(servers.map((server) => new Promise((resolve) => {
    server.close(resolve)
    server.closeIdleConnections()
  })))
}
