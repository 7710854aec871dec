import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { ConnectionGuard, descriptorShares, limitServer, listenAt } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

const MAX_CONNECTIONS = 10
const PARTS = [['nothing', ''], ['a part of a head', 'GET / HTTP/1.1\r\n'], ['a part of a body', 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf']] as const

/** Starts a server whose answers the test triggers. */
async function startServer (t: ExecutionContext) {
  const answers: (() => void)[] = []
  const fullChanges: boolean[] = []
  const failures: string[] = []
  const server = createServer((_, response: ServerResponse) => {
    answers.push(() => response.end('done'))
  })
  const guard = new ConnectionGuard(server, { maxConnections: MAX_CONNECTIONS, onFullChanged: (full) => fullChanges.push(full), onAcceptError: ({ message }) => failures.push(message) })
  await listenAt(server, '127.0.0.1:0')
  const sockets: Socket[] = []
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })
  /** Opens a connection with a request on it. */
  const ask = async (): Promise<Socket> => {
    const socket = connect((server.address() as { port: number }).port, '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    const arrived = once(server, 'request')
    socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    await arrived
    return socket
  }
  return { server, guard, ask, answers, fullChanges, failures }
}

async function closeOf (server: Server, socket: Socket): Promise<void> {
  const closed = once(socket, 'close')
  socket.destroy()
  await closed
  while (await connectionsOf(server) >= MAX_CONNECTIONS) await new Promise((resolve) => setImmediate(resolve))
}

function connectionsOf (server: Server): Promise<number> {
  return new Promise((resolve, reject) => server.getConnections((error, count) => error ? reject(error) : resolve(count)))
}

test('a server at its connection limit reports that it accepts none until enough are closed', async (t) => {
  const { server, guard, ask, fullChanges } = await startServer(t)
  t.true(guard.acceptsConnections)
  const sockets: Socket[] = []
  for (let i = 0; i < MAX_CONNECTIONS; i++) sockets.push(await ask())
  t.false(guard.acceptsConnections)
  await closeOf(server, sockets[0])
  // One free connection is not enough, so that the state does not flap.
  t.false(guard.acceptsConnections)
  await closeOf(server, sockets[1])
  await closeOf(server, sockets[2])
  while (!guard.acceptsConnections) await new Promise((resolve) => setImmediate(resolve))
  t.deepEqual(fullChanges, [true, false])
})

test('idle connections are closed when the connection limit is near', async (t) => {
  const { guard, ask, answers } = await startServer(t)
  const idle = await ask()
  const closed = once(idle, 'close')
  answers[0]()
  await once(idle, 'data')
  const busy: Socket[] = []
  for (let i = 1; i < MAX_CONNECTIONS; i++) busy.push(await ask())
  await closed
  t.true(busy.every((socket) => !socket.destroyed))
  t.true(guard.acceptsConnections)
})

// Guards against crowds that keep others out with connections on which they request nothing.
PARTS.forEach(([part, text]) => {
  test(`a server whose connections are taken by clients that send ${part} serves others, and those with a request in progress`, async (t) => {
    const server = createServer()
    const responses: ServerResponse[] = []
    limitServer(server, (message, response) => {
      message.resume()
      if (message.method === 'GET') responses.push(response)
    }, { maxConnections: MAX_CONNECTIONS, maxAhead: 0 })
    await listenAt(server, '127.0.0.1:0')
    const sockets: Socket[] = []
    t.teardown(() => {
      sockets.forEach((socket) => socket.destroy())
      server.close()
    })
    const open = async (sent: string) => {
      const socket = connect((server.address() as { port: number }).port, '127.0.0.1')
      sockets.push(socket)
      socket.on('error', () => {})
      const accepted = once(server, 'connection')
      socket.write(sent)
      await accepted
      return socket
    }
    const first = await open('GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    while (responses.length < 1) await once(server, 'request')
    for (let i = 0; i < 2 * MAX_CONNECTIONS; i++) await open(text)
    const last = await open('GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    while (responses.length < 2) await once(server, 'request')
    const answers = [first, last].map((socket) => once(socket, 'data'))
    responses.forEach((response) => response.end())
    t.deepEqual((await Promise.all(answers)).map(([bytes]) => String(bytes).slice(0, 12)), ['HTTP/1.1 200', 'HTTP/1.1 200'])
  })
})

test('a listener\'s failure does not end the process, and the server counts as not accepting until it accepts a connection again', async (t) => {
  const { server, guard, ask } = await startServer(t)
  const outOfDescriptors = Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' })
  server.emit('error', outOfDescriptors)
  server.emit('error', outOfDescriptors)
  t.false(guard.acceptsConnections)
  await ask()
  t.true(guard.acceptsConnections)
})

test('a listener\'s failure is reported once until it accepts a connection again', async (t) => {
  const { server, ask, failures } = await startServer(t)
  const fail = () => server.emit('error', new Error('accept EMFILE'))
  fail()
  fail()
  t.deepEqual(failures, ['accept EMFILE'])
  await ask()
  fail()
  t.deepEqual(failures, ['accept EMFILE', 'accept EMFILE'])
})

test('a server that does not listen accepts no connections', async (t) => {
  t.false(new ConnectionGuard(createServer(), { maxConnections: MAX_CONNECTIONS }).acceptsConnections)
})

test('the shares of all kinds of connections leave some descriptors', (t) => {
  for (const descriptors of [100, 824, 3900]) {
    const { callers, lookups, peers, upstreams } = descriptorShares(descriptors)
    t.true(callers + lookups + peers + upstreams <= 0.95 * descriptors)
    t.true(Math.min(callers, lookups, peers, upstreams) >= Math.floor(0.1 * descriptors))
  }
})
