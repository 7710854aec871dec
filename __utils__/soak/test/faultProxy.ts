import { once } from 'node:events'
import { createServer, Socket } from 'node:net'
import { FaultProxy, NetworkFault, BlackholeDirection } from '@reelspan/utils.soak'
import test, { type ExecutionContext } from 'ava'

/** Starts an echo server behind a proxy, and opens a connection to it. */
async function startEcho (t: ExecutionContext) {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.pipe(socket)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const proxy = new FaultProxy(() => `127.0.0.1:${(server.address() as { port: number }).port}`)
  await proxy.start()
  const client = connectTo(proxy)
  t.teardown(() => {
    client.destroy()
    proxy.stop()
    server.close()
  })
  await once(client, 'connect')
  return { proxy, client }
}

function connectTo (proxy: FaultProxy): Socket {
  const [host, port] = proxy.address.split(':')
  return new Socket().connect(Number(port), host)
}

function nextTurn (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

function openSockets (): number {
  return process.getActiveResourcesInfo().filter((kind) => kind === 'TCPSocketWrap').length
}

/** Resolves when a connection has closed, with or without an error. */
function waitUntilClosed (socket: Socket): Promise<void> {
  socket.on('error', () => {})
  return new Promise((resolve) => socket.on('close', () => resolve()))
}

async function answerTo (client: Socket, text: string): Promise<string> {
  client.write(text)
  const [bytes] = await once(client, 'data') as [Buffer]
  return bytes.toString()
}

test.serial('forwards bytes while there is no fault', async (t) => {
  const { client } = await startEcho(t)
  t.is(await answerTo(client, 'one'), 'one')
})

test.serial('delivers bytes that a silent path held back in order after the fault', async (t) => {
  const { proxy, client } = await startEcho(t)
  proxy.fault = NetworkFault.Silent
  client.write('one ')
  client.write('two')
  const answer = once(client, 'data')
  proxy.fault = NetworkFault.None
  t.regex(String((await answer)[0]), /^one/)
})

test.serial('a reset path resets open and new connections', async (t) => {
  const { proxy, client } = await startEcho(t)
  const closed = waitUntilClosed(client)
  proxy.fault = NetworkFault.Reset
  await closed
  const next = connectTo(proxy)
  await waitUntilClosed(next)
  t.true(next.destroyed)
})

test.serial('a stopped proxy leaves no open socket, including that of a connection that is being closed', async (t) => {
  const before = openSockets()
  const { proxy, client } = await startEcho(t)
  proxy.fault = NetworkFault.Silent
  client.end()
  await once(client, 'finish')
  // By then the end of the stream has reached the proxy over loopback and is held back there.
  for (let turn = 0; turn < 100; turn++) await nextTurn()
  proxy.fault = NetworkFault.None
  proxy.stop()
  await waitUntilClosed(client)
  while (openSockets() > before) await nextTurn()
  t.true(openSockets() <= before)
})

test.serial('a slow path delays answers', async (t) => {
  const { proxy, client } = await startEcho(t)
  proxy.fault = NetworkFault.Slow
  const fromMs = performance.now()
  t.is(await answerTo(client, 'one'), 'one')
  t.true(performance.now() - fromMs >= 290, 'delays both directions')
})

test.serial('a path that blocks requests holds them back, and answers arrive once the fault is over', async (t) => {
  const { proxy, client } = await startEcho(t)
  proxy.fault = NetworkFault.NoRequests
  const answer = answerTo(client, 'one')
  proxy.fault = NetworkFault.NoAnswers
  proxy.fault = NetworkFault.None
  t.is(await answer, 'one')
})

for (const direction of Object.values(BlackholeDirection)) {
  test.serial(`an open connection that is blackholed (${direction}) delivers nothing and stays open, while a new one works, also after the blackholed one is closed`, async (t) => {
    const { proxy, client } = await startEcho(t)
    t.is(await answerTo(client, 'one'), 'one')
    let hasReceived = false
    client.on('data', () => { hasReceived = true })
    t.is(proxy.blackholeOpenConnections(direction), 1)
    client.write('two')
    const next = connectTo(proxy)
    t.teardown(() => next.destroy())
    t.is(await answerTo(next, 'three'), 'three')
    t.false(hasReceived)
    t.false(client.destroyed)
    client.destroy()
    t.is(await answerTo(next, 'four'), 'four', 'the end of a blackholed connection does not affect other connections')
  })
}

for (const direction of Object.values(BlackholeDirection)) {
  test.serial(`a connection that is blackholed (${direction}) stays open and delivers nothing, and a new one works`, async (t) => {
    const { proxy, client } = await startEcho(t)
    t.is(await answerTo(client, 'one'), 'one')
    proxy.blackholeOpenConnections(direction)
    let receivedCount = 0
    client.on('data', () => { receivedCount++ })
    client.write('two')
    const next = connectTo(proxy)
    t.teardown(() => next.destroy())
    t.is(await answerTo(next, 'three'), 'three')
    t.is(receivedCount, 0)
    t.false(client.destroyed)
  })
}
