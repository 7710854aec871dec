import { once } from 'node:events'
import { type AddressInfo, createServer } from 'node:net'
import { Readable } from 'node:stream'
import { ErrorCode } from '@reelspan/core.error'
import { MessageType, type PeerMessage } from '@reelspan/core.messages'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock } from '@reelspan/net.system-env'
import { freeAddress, startEndlessServer } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'
import { WebSocket, WebSocketServer } from 'ws'

const REQUEST: PeerMessage = { type: MessageType.Cancel, key: 'k' }
const LONG = { timeoutMs: 20_000 }
const SHORT = { timeoutMs: 300 }
const UNREACHABLE = { code: ErrorCode.PeerUnreachable }
const FRAGMENT = Buffer.alloc(4096)

async function createLink (t: ExecutionContext) {
  const address = await freeAddress()
  const link = new WsPeerLink({ clock: new SystemClock(), listenAddress: address, maxMessageBytes: 10_000, idleCloseMs: 60_000 })
  await link.listen()
  t.teardown(() => link.close())
  return { link, address }
}

/** Sends one message without an end, until the connection is closed. */
function sendEndlessly (socket: WebSocket): void {
  socket.on('error', () => {})
  const sendNext = (error?: Error | null) => { if (!error && socket.readyState === WebSocket.OPEN) socket.send(FRAGMENT, { fin: false }, sendNext) }
  sendNext()
}

test('a server that refuses a connection with a body without an end is not read', async (t) => {
  const { address, closings, stop } = await startEndlessServer({ status: 200 })
  t.teardown(stop)
  await t.throwsAsync((await createLink(t)).link.call(address, REQUEST, LONG), UNREACHABLE)
  await Promise.all(closings)
})

test('a server that sends interim responses without an end is closed at the timeout', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    Readable.from((function * () { while (true) yield 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1000) })()).pipe(socket)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const closed = new Promise((resolve) => server.once('connection', (socket) => socket.once('close', resolve)))
  const startedAtMs = performance.now()
  await t.throwsAsync((await createLink(t)).link.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, REQUEST, SHORT), UNREACHABLE)
  t.true(performance.now() - startedAtMs < 3000)
  await closed
})

test('an answer of a peer without an end fails at the maximum size of a message', async (t) => {
  const server = new WebSocketServer({ port: 0, host: '127.0.0.1' })
  await once(server, 'listening')
  t.teardown(() => server.close())
  server.on('connection', (socket) => socket.once('message', () => sendEndlessly(socket)))
  await t.throwsAsync((await createLink(t)).link.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, REQUEST, LONG), { ...UNREACHABLE, message: /larger than 10000 bytes/ })
})

test('a message of a peer without an end closes its connection', async (t) => {
  const { address } = await createLink(t)
  const socket = new WebSocket(`ws://${address}`)
  socket.on('open', () => sendEndlessly(socket))
  const [code] = await once(socket, 'close') as [number]
  t.true(code === 1009 || code === 1006, String(code))
})
