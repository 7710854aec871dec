import { readdirSync, readFileSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { requestHeaders } from '@reelspan/utils.platform-stand-ins'

/** A crowd has sent what it can when none of its connections has taken a byte for this long. */
const QUIET_MS = 1000
const POLL_MS = 50
/** Bytes of requests that a client hands to its system at once. */
const WRITE_BYTES = 65_536
const KIB = 1024
/** Waves whose connections stay open besides the latest one. */
const OPEN_WAVES = 2

/** Clients that send requests without waiting for answers. */
export interface Crowd {
  address: string
  connections: number
  /** One whole request. */
  request: string
  requestsPerConnection: number
}

/** The head of a request without its last line end. The identifier is needed on the users' platform only. */
export function headOf (method: string, target: string): string {
  return [`${method} ${target} HTTP/1.1`, ...Object.entries(requestHeaders('a', {})).map(([name, value]) => `${name}: ${value}`), ''].join('\r\n')
}

/** Opens connections that send all their requests ahead and read nothing. Resolves when no more can be sent; the connections stay open. */
export async function sendAhead ({ address, connections, request, requestsPerConnection }: Crowd): Promise<Socket[]> {
  const perWrite = Math.max(1, Math.floor(WRITE_BYTES / request.length))
  const sockets = Array.from({ length: connections }, () => {
    const socket = openSocket(address)
    let left = requestsPerConnection
    const write = () => {
      while (left > 0 && !socket.destroyed) {
        const count = Math.min(left, perWrite)
        left -= count
        if (!socket.write(request.repeat(count), 'latin1')) return
      }
    }
    socket.on('drain', write)
    write()
    return socket
  })
  await waitUntilQuiet(sockets)
  return sockets
}

/** Opens a connection that reads nothing. */
export function openSocket (address: string): Socket {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  socket.on('error', () => {})
  socket.pause()
  return socket
}

/** What a client does once it has sent its text. */
export enum ClientBehaviour {
  /** Resets its connection. */
  Leave = 'leave',
  /** Reads nothing. */
  Wait = 'wait',
  /** Ends its side of the connection and reads nothing. */
  HalfClose = 'halfClose',
  Read = 'read',
}

export interface VisitorKind {
  text: string
  behaviour: ClientBehaviour
}

/** Opens connections in waves, of which each begins before the earlier ones have ended, and takes the kinds in turn. Resolves with those that are open. */
export async function visitInWaves (address: string, { waves, perWave, kinds }: { waves: number, perWave: number, kinds: readonly VisitorKind[] }): Promise<Socket[]> {
  const open: Visitor[][] = []
  for (let wave = 0; wave < waves; wave++) {
    const visitors = Array.from({ length: perWave }, (_, i) => visit(address, kinds[i % kinds.length]))
    open.push(visitors)
    await Promise.all(visitors.map(({ settled }) => settled))
    if (open.length > OPEN_WAVES) open.shift()?.forEach(({ socket }) => socket.destroy())
  }
  return open.flat().map(({ socket }) => socket)
}

/** Keeps connections open that send a text: each is opened again when it is closed. Resolves once all have been opened or closed for the first time. */
export async function keepConnected (address: string, connections: number, text: string): Promise<{ stop: () => void }> {
  const open = new Set<Socket>()
  let stopped = false
  const reconnect = () => {
    const { socket, settled } = visit(address, { text, behaviour: ClientBehaviour.Wait })
    open.add(socket)
    socket.once('close', () => {
      open.delete(socket)
      if (!stopped) setImmediate(reconnect)
    })
    return settled
  }
  await Promise.all(Array.from({ length: connections }, reconnect))
  return {
    stop: () => {
      stopped = true
      open.forEach((socket) => socket.destroy())
    },
  }
}

interface Visitor {
  socket: Socket
  /** Resolves once it has sent its text, or its connection is closed. */
  settled: Promise<void>
}

function visit (address: string, { text, behaviour }: VisitorKind): Visitor {
  const socket = openSocket(address)
  const settled = new Promise<void>((resolve) => {
    const done = () => {
      if (behaviour === ClientBehaviour.Leave) socket.resetAndDestroy()
      if (behaviour === ClientBehaviour.HalfClose) socket.end()
      if (behaviour === ClientBehaviour.Read) socket.resume()
      resolve()
    }
    socket.once('close', () => resolve())
    if (text === '') socket.once('connect', done)
    else socket.write(text, 'latin1', done)
  })
  return { socket, settled }
}

async function waitUntilQuiet (sockets: readonly Socket[]): Promise<void> {
  const acceptedBytes = () => sockets.reduce((sum, { bytesWritten, writableLength }) => sum + bytesWritten - writableLength, 0)
  for (let before = -1, quietMs = 0; quietMs < QUIET_MS; quietMs += POLL_MS) {
    const bytes = acceptedBytes()
    if (bytes !== before) quietMs = 0
    before = bytes
    await sleep(POLL_MS)
  }
}

/** The highest resident size of a process since its start. */
export function highestResidentBytes (pid: number): number {
  return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'latin1'))?.[1]) * KIB
}

/** Samples the open descriptors of a process until it is stopped or the process ends, and returns the most that it saw. */
export function watchDescriptors (pid: number): { stop: () => number } {
  let most = 0
  const sample = () => {
    try {
      most = Math.max(most, readdirSync(`/proc/${pid}/fd`).length)
    } catch {
      clearInterval(timer)
    }
  }
  const timer = setInterval(sample, POLL_MS)
  return {
    stop: () => {
      sample()
      clearInterval(timer)
      return most
    },
  }
}
