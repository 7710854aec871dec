import { once } from 'node:events'
import { createServer, type RequestListener } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { text } from 'node:stream/consumers'
import { raceTimeout, TimedOut } from '@reelspan/core.env'
import { closeServers, SystemClock } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

async function startServer (t: ExecutionContext, listener: RequestListener) {
  const server = createServer(listener).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const open = async (bytes: string): Promise<Socket> => {
    const accepted = once(server, 'connection')
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    t.teardown(() => socket.destroy())
    if (bytes !== '') socket.write(bytes)
    await accepted
    return socket
  }
  return { server, open }
}

test('servers close promptly even if a client has not sent a complete request', async (t) => {
  for (const bytes of ['', 'GET / HTTP/1.1\r\nHost: a']) {
    const { server, open } = await startServer(t, (_message, response) => { response.end() })
    await open(bytes)
    t.not(await raceTimeout(new SystemClock(), closeServers([server]), 2000), TimedOut)
  }
})

test('an answer in progress is completed before its server is closed', async (t) => {
  const { server, open } = await startServer(t, (_message, response) => {
    response.write('first ')
    setTimeout(() => response.end('last'), 50)
  })
  const asked = once(server, 'request')
  const socket = await open('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  await asked
  await closeServers([server])
  t.regex(await text(socket), /last/)
})
