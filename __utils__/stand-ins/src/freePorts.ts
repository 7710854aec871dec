import { type AddressInfo, createServer } from 'node:net'

/** Ports on loopback that nobody listens on at the moment. */
export async function freePorts (count: number, host = '127.0.0.1'): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>((resolve) => {
    const server = createServer().listen(0, host, () => resolve(server))
  })))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

/** One of these as an address. */
export async function freeAddress (): Promise<string> {
  const [port] = await freePorts(1)
  return `127.0.0.1:${port}`
}
