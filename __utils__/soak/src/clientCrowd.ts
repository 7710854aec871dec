import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { requestHeaders } from '@reelspan/utils.platform-stand-ins'
import { drawOne } from './drawOne.js'

/** Clients that connect one after the other. */
const VISITORS = 100
const MAX_OPEN = 1000
const REQUESTS_AHEAD = 500
const MAX_VISIT_MS = 400
/** Share of the clients that reset their connections. The others stay until the end, or until they are disconnected. */
const LEAVING_SHARE = 0.5
const HEAD = ['GET /no/such HTTP/1.1', ...Object.entries(requestHeaders('crowd', {})).map(([name, value]) => `${name}: ${value}`), ''].join('\r\n')
/** Nothing, a part of a head or of a body, and requests ahead at a path without a route. */
const TEXTS = ['', HEAD, `${HEAD}Content-Length: 100000\r\n\r\nbrief`, `${HEAD}\r\n`.repeat(REQUESTS_AHEAD)]

/** Connects clients to a box that read no answers and leave at random times, some at once, others for as long as they are let. Resolves after `durationMs`. */
export async function sendClientCrowd (address: string, { random, durationMs }: { random: SeededRandom, durationMs: number }): Promise<void> {
  const [host, port] = address.split(':')
  const endsAtMs = performance.now() + durationMs
  const open = new Set<Socket>()
  const visit = async () => {
    while (performance.now() < endsAtMs) {
      if (open.size >= MAX_OPEN) await sleep(MAX_VISIT_MS)
      const socket = connect(Number(port), host).on('error', () => {})
      open.add(socket)
      socket.once('close', () => open.delete(socket))
      socket.pause()
      socket.write(drawOne(random, TEXTS))
      const closed = new Promise((resolve) => socket.once('close', resolve))
      await Promise.race([closed, sleep(random.nextFloat() * MAX_VISIT_MS)])
      if (random.nextFloat() < LEAVING_SHARE) socket.resetAndDestroy()
    }
  }
  await Promise.all(Array.from({ length: VISITORS }, visit))
  open.forEach((socket) => socket.destroy())
}
