import { type AddressInfo, createServer } from 'node:net'

/** Ports on loopback that nobody listens on at the moment. */
export async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => resolve(server))
  })))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}
