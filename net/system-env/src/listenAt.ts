import { type Server } from 'node:http'

/** Listens at `ip:port`. Resolves once it does. */
export async function listenAt (server: Server, address: string): Promise<void> {
  const at = address.lastIndexOf(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }, resolve)
  })
}
