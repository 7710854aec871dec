import { once } from 'node:events'
import { createServer, Socket } from 'node:net'
import { FaultProxy, PathFault, Silence } from '@reelspan/utils.soak'
import test, { type ExecutionContext } from 'ava'

/** A server that sends back what it gets, behind a proxy, and a connection to it. */
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

/** Resolves when a connection is closed, by an error or not. */
function closeOf (socket: Socket): Promise<void> {
  socket.on('error', () => {})
  return new Promise((resolve) => socket.on('close', () => resolve()))
}

async function answerTo (client: Socket, text: string): Promise<string> {
  client.write(text)
  const [bytes] = await once(client, 'data') as [Buffer]
  return bytes.toString()
}

test.serial('bytes pass while there is no fault', async (t) => {
  const { client } = await startEcho(t)
  t.is(await answerTo(client, 'one'), 'one')
})

test.serial('what a silent path holds back comes when it is over, in order', async (t) => {
  const { proxy, client } = await startEcho(t)
  proxy.fault = PathFault.Silent
  client.write('one ')
  client.write('two')
  const answer = once(client, 'data')
  proxy.fault = PathFault.None
  t.regex(String((await answer)[0]), /^one/)
})

test.serial('a reset path resets connections, old and new', async (t) => {
  const { proxy, client } = await startEcho(t)
  const closed = closeOf(client)
  proxy.fault = PathFault.Reset
  await closed
  const next = connectTo(proxy)
  await closeOf(next)
  t.true(next.destroyed)
})

test.serial('a proxy that stops leaves no socket behind, also of a connection that is just being ended', async (t) => {
  const before = openSockets()
  const { proxy, client } = await startEcho(t)
  proxy.fault = PathFault.Silent
  client.end()
  await once(client, 'finish')
  // The end has come through loopback by then, and waits in the proxy.
  for (let turn = 0; turn < 100; turn++) await nextTurn()
  proxy.fault = PathFault.None
  proxy.stop()
  await closeOf(client)
  while (openSockets() > before) await nextTurn()
  t.true(openSockets() <= before)
})

test.serial('a slow path delays answers', async (t) => {
  const { proxy, client } = await startEcho(t)
  proxy.fault = PathFault.Slow
  const fromMs = performance.now()
  t.is(await answerTo(client, 'one'), 'one')
  t.true(performance.now() - fromMs >= 290, 'on both ways')
})

test.serial('a path that is cut towards the server keeps requests back, and answers no longer than that', async (t) => {
  const { proxy, client } = await startEcho(t)
  proxy.fault = PathFault.NoRequests
  const answer = answerTo(client, 'one')
  proxy.fault = PathFault.NoAnswers
  proxy.fault = PathFault.None
  t.is(await answer, 'one')
})

for (const silence of Object.values(Silence)) {
  test.serial(`an open connection that is silent ${silence} stays so, without an end, while a new one works`, async (t) => {
    const { proxy, client } = await startEcho(t)
    t.is(await answerTo(client, 'one'), 'one')
    let heard = false
    client.on('data', () => { heard = true })
    t.is(proxy.silenceOpen(silence), 1)
    client.write('two')
    const next = connectTo(proxy)
    t.teardown(() => next.destroy())
    t.is(await answerTo(next, 'three'), 'three')
    t.false(heard)
    t.false(client.destroyed)
    client.destroy()
    t.is(await answerTo(next, 'four'), 'four', 'the end of a silent connection harms no other')
  })
}

for (const way of Object.values(Silence)) {
  test.serial(`a connection that is silenced (${way}) stays so without an end, and a new one works`, async (t) => {
    const { proxy, client } = await startEcho(t)
    t.is(await answerTo(client, 'one'), 'one')
    proxy.silenceOpen(way)
    let heard = 0
    client.on('data', () => { heard++ })
    client.write('two')
    const next = connectTo(proxy)
    t.teardown(() => next.destroy())
    t.is(await answerTo(next, 'three'), 'three')
    t.is(heard, 0)
    t.false(client.destroyed)
  })
}
