import { type Server } from 'node:http'
import { type AddressInfo } from 'node:net'

/** Starts a server on loopback and resolves with its `ip:port`. Port 0 selects a free one. */
export async function listenOn (server: Server, port = 0): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}
