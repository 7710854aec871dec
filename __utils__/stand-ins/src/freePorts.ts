import { createServer, type Server } from 'node:net'

/** The range is below the system's ephemeral ports, so that no connection or listener on port 0 takes a port before it is used. */
const FIRST_PORT = 12_000
const PORT_COUNT = 20_000
/** Concurrent processes start at different offsets, to try fewer reserved ports. */
const PORTS_PER_PROCESS = 1009
/** A returned port is reserved by a listener on this address until the process exits, so that no other process returns it. */
const RESERVATION_HOST = '127.255.255.254'

let nextOffset = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT

/** Finds loopback ports without a listener and reserves them for this process. */
export async function freePorts (count: number, host = '127.0.0.1'): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = FIRST_PORT + nextOffset
    nextOffset = (nextOffset + 1) % PORT_COUNT
    if (await reserve(port, host)) ports.push(port)
  }
  return ports
}

async function reserve (port: number, host: string): Promise<boolean> {
  const reserved = await listen(port, RESERVATION_HOST)
  const free = reserved && await listen(port, host)
  reserved?.unref()
  if (!free) {
    reserved?.close()
    return false
  }
  await new Promise((resolve) => free.close(resolve))
  return true
}

/** Resolves with undefined if the port is in use. */
function listen (port: number, host: string): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, host, () => resolve(server))
  })
}

/** Reserves a free port and resolves with its loopback address. */
export async function freeAddress (): Promise<string> {
  const [port] = await freePorts(1)
  return `127.0.0.1:${port}`
}
