import { connect } from 'node:net'
import { MessageType, type PeerMessage } from '@reelspan/core.messages'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock } from '@reelspan/net.system-env'
import { freeAddress } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

const MAX_CONNECTIONS = 20
const REQUEST: PeerMessage = { type: MessageType.Cancel, key: 'k' }

async function createLink (t: ExecutionContext) {
  const address = await freeAddress()
  const link = new WsPeerLink({ clock: new SystemClock(), listenAddress: address, maxMessageBytes: 10_000, idleCloseMs: 60_000, maxConnections: MAX_CONNECTIONS })
  link.serve({ onCall: async (message) => message, onStream: async function * () {} })
  await link.listen()
  t.teardown(() => link.close())
  return { link, address }
}

/** Connects and resolves with what was received once the connection is closed. */
function visit (t: ExecutionContext, address: string, text: string) {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.on('error', () => {})
  socket.on('data', (bytes) => { received += String(bytes) })
  socket.write(text)
  t.teardown(() => { socket.destroy() })
  return new Promise<string>((resolve) => socket.on('close', () => resolve(received)))
}

test('a request without an upgrade is refused, and its connection is closed', async (t) => {
  const { address } = await createLink(t)
  t.regex(await visit(t, address, 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'), /^HTTP\/1\.1 426 [^]*Connection: close/)
})

test('a client that sends more than its handshake before the upgrade is accepted is disconnected', async (t) => {
  const { address } = await createLink(t)
  const handshake = 'GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n'
  await t.notThrowsAsync(visit(t, address, handshake + 'x'.repeat(10_000)))
})

test('peers connect while others hold connections without a handshake, of which the oldest are closed', async (t) => {
  const [{ address }, { link }] = [await createLink(t), await createLink(t)]
  const visitors = Array.from({ length: 2 * MAX_CONNECTIONS }, () => visit(t, address, 'GET / HTTP/1.1\r\n'))
  await visitors[0]
  t.deepEqual(await link.call(address, REQUEST, { timeoutMs: 20_000 }), REQUEST)
})
