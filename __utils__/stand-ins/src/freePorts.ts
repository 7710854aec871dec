import { createServer, type Server } from 'node:net'

/** Below the ports that the system gives to connections and to listeners that name none, so that none of those takes one before it is used. */
const FIRST_PORT = 12_000
const PORTS = 20_000
/** Processes that run side by side begin at places of their own, to try fewer. */
const PORTS_PER_PROCESS = 1009
/** A port that is given out is listened on here until the process ends, so that no process gives it out again. */
const CLAIM_HOST = '127.255.255.254'

let next = (process.pid * PORTS_PER_PROCESS) % PORTS

/** Ports on loopback that nobody listens on, and that are given to nobody else. */
export async function freePorts (count: number, host = '127.0.0.1'): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = FIRST_PORT + next
    next = (next + 1) % PORTS
    if (await claim(port, host)) ports.push(port)
  }
  return ports
}

async function claim (port: number, host: string): Promise<boolean> {
  const claimed = await listen(port, CLAIM_HOST)
  const free = claimed && await listen(port, host)
  claimed?.unref()
  if (!free) {
    claimed?.close()
    return false
  }
  await new Promise((resolve) => free.close(resolve))
  return true
}

/** Nothing when the port is taken. */
function listen (port: number, host: string): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, host, () => resolve(server))
  })
}

/** One of these as an address. */
export async function freeAddress (): Promise<string> {
  const [port] = await freePorts(1)
  return `127.0.0.1:${port}`
}
