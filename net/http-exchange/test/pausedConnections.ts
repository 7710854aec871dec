import { once } from 'node:events'
import { createServer, type Socket } from 'node:net'
import { ByteBudget } from '@reelspan/net.byte-budget'
import { ConnectionPool, ExchangeError } from '@reelspan/net.http-exchange'
import { SystemClock } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }
/** More than the socket buffers of both ends hold. */
const LARGE_BYTES = 30_000_000
const BUDGET_BYTES = 2_000_000
const LARGE = Buffer.alloc(LARGE_BYTES, 'abcdefghijk')
const LARGE_HEAD = `HTTP/1.1 200 OK\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`
/** Two checks of a paused connection and some time for a busy machine. */
const NOTICED_WITHIN_MS = 2000

async function startExchange (t: ExecutionContext, serve: (socket: Socket) => void, budgetBytes = BUDGET_BYTES) {
  const sockets: Socket[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', () => serve(socket))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000 })
  t.teardown(() => {
    pool.close()
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })
  const budget = new ByteBudget({ totalBytes: budgetBytes })
  const account = budget.open()
  const stop = new AbortController()
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`
  const { body } = await pool.exchange(address, GET, { signal: stop.signal, buffer: account })
  return { pool, address, sockets, budget, account, stop, body }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

function serveLarge (socket: Socket): void {
  socket.write(LARGE_HEAD)
  socket.end(LARGE)
}

test('of an answer that nobody reads, half of the budget is buffered; a reader that starts late gets it complete and unchanged', async (t) => {
  const { budget, account, body } = await startExchange(t, serveLarge)
  await waitUntil(() => account.paused)
  t.true(account.usedBytes < BUDGET_BYTES)
  const parts: Uint8Array[] = []
  for await (const part of body) {
    parts.push(part)
    t.true(budget.usedBytes < BUDGET_BYTES)
    if (parts.length % 100 === 0) await new Promise((resolve) => setImmediate(resolve))
  }
  t.true(Buffer.concat(parts).equals(LARGE))
  t.is(budget.usedBytes, 0)
})

test('an exchange whose whole answer was received frees its connection, though the answer was not read', async (t) => {
  const { pool, address, account, body } = await startExchange(t, (socket) => socket.write(Buffer.concat([Buffer.from(LARGE_HEAD), LARGE])), 3 * LARGE_BYTES)
  await waitUntil(() => pool.hasIdle(address))
  t.true(account.usedBytes >= LARGE_BYTES)
  let bytes = 0
  for await (const part of body) bytes += part.byteLength
  t.is(bytes, LARGE_BYTES)
})

/** Reads a body and returns the error that it ends with. */
async function failureOf (body: AsyncIterable<Uint8Array>): Promise<unknown> {
  try {
    for await (const part of body) void part
  } catch (thrown) {
    return thrown
  }
}

test('a paused connection notices that its upstream reset it, and the answer does not look complete', async (t) => {
  const { sockets, account, body } = await startExchange(t, serveLarge)
  await waitUntil(() => account.paused)
  sockets[0].resetAndDestroy()
  await Promise.race([waitUntil(() => !account.hasSource), new SystemClock().sleep(NOTICED_WITHIN_MS)])
  t.false(account.hasSource)
  t.true(await failureOf(body) instanceof ExchangeError)
})

test('a paused connection whose upstream closes it within a small rest of the answer notices the end without being read', async (t) => {
  const half = LARGE.subarray(0, BUDGET_BYTES / 2)
  const { sockets, account, body } = await startExchange(t, (socket) => {
    socket.write(LARGE_HEAD)
    socket.write(half)
  })
  await waitUntil(() => account.paused)
  sockets[0].end('rest')
  await Promise.race([waitUntil(() => !account.hasSource), new SystemClock().sleep(NOTICED_WITHIN_MS)])
  t.false(account.hasSource)
  t.true(await failureOf(body) instanceof ExchangeError)
})

test('a paused exchange ends at once when it is cancelled, and its upstream sees the connection close', async (t) => {
  const { sockets, account, stop, body } = await startExchange(t, serveLarge)
  await waitUntil(() => account.paused)
  const closed = new Promise((resolve) => sockets[0].on('close', resolve))
  stop.abort()
  t.false(account.hasSource)
  await closed
  t.true(await failureOf(body) instanceof ExchangeError)
})
