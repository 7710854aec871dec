import { once } from 'node:events'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { Readable } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'

/** How a body without an end goes on. */
export enum EndlessPace {
  /** As fast as it is read. */
  Full = 'full',
  /** 200 bytes every 30 ms. */
  Trickle = 'trickle',
}

export interface EndlessAnswer {
  status: number
  pace?: EndlessPace
}

const TRICKLE_INTERVAL_MS = 30
const PART = Buffer.alloc(65_536, 'x')
const TRICKLE_PART = PART.subarray(0, 200)

/** A body that has no end. */
export function endlessBody (pace = EndlessPace.Full): Readable {
  return Readable.from(endlessParts(pace))
}

/** Starts a server that answers each request with a head and a body that has no end. */
export async function startEndlessServer ({ status, pace }: EndlessAnswer) {
  const sockets: Socket[] = []
  /** One for each connection, settled once it is closed. */
  const closings: Promise<void>[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    closings.push(new Promise((resolve) => { socket.once('close', () => resolve()) }))
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(`HTTP/1.1 ${status} Endless\r\nContent-Type: application/json\r\nContent-Length: 1000000000000\r\n\r\n`)
      endlessBody(pace).pipe(socket)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const stop = () => {
    sockets.forEach((socket) => socket.destroy())
    server.close()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, closings, stop }
}

async function * endlessParts (pace: EndlessPace): AsyncGenerator<Buffer> {
  while (true) {
    if (pace === EndlessPace.Trickle) await sleep(TRICKLE_INTERVAL_MS)
    yield pace === EndlessPace.Trickle ? TRICKLE_PART : PART
  }
}
