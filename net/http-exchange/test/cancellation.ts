import { once } from 'node:events'
import { createServer, type Socket } from 'node:net'
import { Verdict } from '@reelspan/core.error'
import { ConnectionPool, ExchangeError } from '@reelspan/net.http-exchange'
import { SystemClock } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

/** The upstream must see its connection close within this time, half of the time in which its work must stop after the caller disconnects. */
const MAX_CLOSE_MS = 250
const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }
/** More than the socket buffers of both ends hold. */
const BYTES_BEYOND_SOCKET_BUFFERS = 30_000_000
const HALF = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'

interface AcceptedConnection {
  socket: Socket
  bytes: number
  closed: Promise<void>
}

/** Starts an upstream that records its connections, and a pool. */
async function startUpstream (t: ExecutionContext, serve: (socket: Socket, nth: number) => void = () => {}) {
  const accepted: AcceptedConnection[] = []
  const server = createServer((socket) => {
    const entry: AcceptedConnection = { socket, bytes: 0, closed: new Promise((resolve) => { socket.on('close', () => resolve()) }) }
    socket.on('error', () => {})
    socket.on('data', (bytes) => { entry.bytes += bytes.byteLength })
    accepted.push(entry)
    serve(socket, accepted.length - 1)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000 })
  t.teardown(() => {
    pool.close()
    accepted.forEach(({ socket }) => socket.destroy())
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as { port: number }).port}`, accepted, pool, server }
}

async function closesInTime ({ socket, closed }: AcceptedConnection): Promise<boolean> {
  await Promise.race([closed, waitForTimeout()])
  return socket.destroyed
}

/** On a busy machine, data that arrived in time may not have been read yet, so this also waits for pending input. */
async function waitForTimeout (): Promise<void> {
  const clock = new SystemClock()
  await clock.sleep(MAX_CLOSE_MS)
  await clock.awaitPendingInput()
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

function verdictOf (thrown: unknown): Verdict | undefined {
  return (thrown as ExchangeError | undefined)?.verdict
}

test('an exchange cancelled while its connection is being opened has not run, and leaves no connection open', async (t) => {
  const { address, accepted, pool, server } = await startUpstream(t)
  const stop = new AbortController()
  let sent = false
  const exchange = pool.exchange(address, GET, { signal: stop.signal, onSend: () => { sent = true } })
  stop.abort()
  t.is(verdictOf(await t.throwsAsync(exchange, { instanceOf: ExchangeError })), Verdict.NotRun)
  t.false(sent)
  // Connections are accepted in order, so the first one has been accepted once this one has.
  const next = pool.exchange(address, GET, { signal: new AbortController().signal })
  next.catch(() => {})
  await waitUntil(() => accepted.some(({ bytes }) => bytes > 0))
  t.is(accepted.filter(({ bytes }) => bytes > 0).length, 1)
  t.true((await Promise.all(accepted.filter(({ bytes }) => bytes === 0).map(closesInTime))).every(Boolean))
  server.close()
})

test('an exchange cancelled while its connection is being accepted reports correctly whether it was sent', async (t) => {
  const { address, accepted, pool } = await startUpstream(t)
  const stop = new AbortController()
  let sent = false
  const exchange = pool.exchange(address, GET, { signal: stop.signal, onSend: () => { sent = true } })
  await waitUntil(() => accepted.length > 0)
  stop.abort()
  const error = await t.throwsAsync(exchange, { instanceOf: ExchangeError })
  t.is(verdictOf(error), sent ? Verdict.MayHaveRun : Verdict.NotRun)
  if (sent) t.true(await closesInTime(accepted[0]))
  else t.is(accepted[0].bytes, 0)
})

test('an exchange cancelled while its request is being sent closes its connection, and may have run', async (t) => {
  const { address, accepted, pool } = await startUpstream(t, (socket) => socket.pause())
  const stop = new AbortController()
  const exchange = pool.exchange(address, { ...GET, method: 'POST', body: new Uint8Array(BYTES_BEYOND_SOCKET_BUFFERS) }, { signal: stop.signal })
  await waitUntil(() => accepted.length > 0)
  stop.abort()
  t.is(verdictOf(await t.throwsAsync(exchange, { instanceOf: ExchangeError })), Verdict.MayHaveRun)
  accepted[0].socket.resume()
  t.true(await closesInTime(accepted[0]))
  t.true(accepted[0].bytes < BYTES_BEYOND_SOCKET_BUFFERS)
})

test('an exchange cancelled while its upstream works closes its connection, and may have run', async (t) => {
  const { address, accepted, pool } = await startUpstream(t)
  const stop = new AbortController()
  const exchange = pool.exchange(address, GET, { signal: stop.signal })
  await waitUntil(() => accepted.length > 0 && accepted[0].bytes > 0)
  stop.abort()
  t.is(verdictOf(await t.throwsAsync(exchange, { instanceOf: ExchangeError })), Verdict.MayHaveRun)
  t.true(await closesInTime(accepted[0]))
})

for (const [how, cancel] of [
  ['is cancelled', async (stop: AbortController) => stop.abort()],
  ['is no longer read', async (_stop: AbortController, parts: AsyncIterator<Uint8Array>) => { await parts.return?.() }],
] as const) {
  test(`if a partial answer ${how}, its connection is closed, and the next exchange uses a new one`, async (t) => {
    const { address, accepted, pool } = await startUpstream(t, (socket, nth) => socket.on('data', () => socket.write(nth === 0 ? HALF : WHOLE)))
    const stop = new AbortController()
    const { body } = await pool.exchange(address, GET, { signal: stop.signal })
    const parts = body[Symbol.asyncIterator]()
    t.is(Buffer.from((await parts.next()).value as Uint8Array).toString(), 'half')
    await cancel(stop, parts)
    const next = await pool.exchange(address, GET, { signal: new AbortController().signal })
    t.is(Buffer.from((await next.body[Symbol.asyncIterator]().next()).value as Uint8Array).toString(), 'whole')
    t.is(accepted.length, 2)
    t.true(await closesInTime(accepted[0]))
  })
}

test('an exchange cancelled before it is sent leaves the idle connection for reuse', async (t) => {
  const { address, accepted, pool } = await startUpstream(t, (socket) => socket.on('data', () => socket.write(WHOLE)))
  const read = async () => {
    const { body } = await pool.exchange(address, GET, { signal: new AbortController().signal })
    for await (const bytes of body) t.is(Buffer.from(bytes).toString(), 'whole')
  }
  await read()
  const sentBytes = accepted[0].bytes
  t.is(verdictOf(await t.throwsAsync(pool.exchange(address, GET, { signal: AbortSignal.abort() }))), Verdict.NotRun)
  await read()
  t.is(accepted.length, 1)
  t.is(accepted[0].bytes, 2 * sentBytes)
})
