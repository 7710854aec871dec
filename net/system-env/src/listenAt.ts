import { type Server } from 'node:http'
import { splitAddress } from './splitAddress.js'

/** Starts listening at `ip:port`. Resolves once the server listens. */
export async function listenAt (server: Server, address: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(splitAddress(address), () => {
      server.off('error', reject)
      resolve()
    })
  })
}
