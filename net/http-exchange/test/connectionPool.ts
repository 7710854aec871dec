import { once } from 'node:events'
import { createServer, type Server, type Socket } from 'node:net'
import { Verdict } from '@reelspan/core.error'
import { ConnectionPool, ExchangeError, headerValue } from '@reelspan/net.http-exchange'
import { SystemClock } from '@reelspan/net.system-env'
import { VirtualClock } from '@reelspan/utils.fakes'
import test, { type ExecutionContext } from 'ava'

const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }

interface Upstream {
  address: string
  connections: number
}

/** Starts a server that passes each connection to the test's `serve`. */
async function startUpstream (t: ExecutionContext, serve: (socket: Socket, nth: number) => void): Promise<Upstream> {
  const upstream = { address: '', connections: 0 }
  const sockets = new Set<Socket>()
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    serve(socket, upstream.connections++)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as { port: number }
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })
  upstream.address = `127.0.0.1:${port}`
  return upstream
}

function createPool (): ConnectionPool {
  return new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000 })
}

function signal (): AbortSignal {
  return new AbortController().signal
}

async function textOf (body: AsyncIterable<Uint8Array>): Promise<string> {
  const parts: Uint8Array[] = []
  for await (const bytes of body) parts.push(bytes)
  return Buffer.concat(parts).toString()
}

function answer (text: string, headers = ''): string {
  return `HTTP/1.1 200 OK\r\n${headers}Content-Length: ${text.length}\r\n\r\n${text}`
}

test('a connection is reused for the next request', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.write(answer('hello'))))
  const pool = createPool()
  const first = await pool.exchange(upstream.address, GET, { signal: signal() })
  t.is(await textOf(first.body), 'hello')
  const second = await pool.exchange(upstream.address, GET, { signal: signal() })
  t.is(await textOf(second.body), 'hello')
  t.is(upstream.connections, 1)
  pool.close()
})

test('an answer without a length that ends with a reset is incomplete', async (t) => {
  // The reset arrives together with the last bytes, so the socket emits 'end' as after a normal close.
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhello', () => socket.resetAndDestroy())
  }))
  const pool = createPool()
  const { body } = await pool.exchange(upstream.address, GET, { signal: signal() })
  // Blocks the event loop while both arrive.
  const untilMs = performance.now() + 30
  while (performance.now() < untilMs);
  await t.throwsAsync(textOf(body), { instanceOf: ExchangeError })
})

test('an answer without a length that ends with a normal close is complete', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nhello')))
  const pool = createPool()
  const { body } = await pool.exchange(upstream.address, GET, { signal: signal() })
  t.is(await textOf(body), 'hello')
})

test('an answer that ends before its length is incomplete', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello')))
  const { body } = await createPool().exchange(upstream.address, GET, { signal: signal() })
  await t.throwsAsync(textOf(body), { instanceOf: ExchangeError })
})

test('an answer with a malformed chunk size fails', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => {
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nrubbish\r\n\r\n')
  }))
  const { body } = await createPool().exchange(upstream.address, GET, { signal: signal() })
  await t.throwsAsync(textOf(body), { instanceOf: ExchangeError })
})

test('a second answer after a complete one is discarded, and its connection is not reused', async (t) => {
  const upstream = await startUpstream(t, (socket, nth) => socket.on('data', () => {
    socket.write(nth === 0 ? answer('first') + answer('stray') : answer('second'))
  }))
  const pool = createPool()
  const first = await pool.exchange(upstream.address, GET, { signal: signal() })
  t.is(await textOf(first.body), 'first')
  const second = await pool.exchange(upstream.address, GET, { signal: signal() })
  t.is(await textOf(second.body), 'second')
  t.is(upstream.connections, 2)
  pool.close()
})

test('an answer to another request is skipped, and the following one is returned', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => {
    socket.write(answer('late', 'Id: 1\r\n') + answer('mine', 'Id: 2\r\n'))
  }))
  const { body } = await createPool().exchange(upstream.address, GET, { signal: signal(), accept: ({ headers }) => headerValue(headers, 'id') === '2' })
  t.is(await textOf(body), 'mine')
})

test('a connection whose upstream answered before it received the whole request is not reused', async (t) => {
  const upstream = await startUpstream(t, (socket) => {
    socket.pause()
    setImmediate(() => socket.write(answer('early')))
  })
  const pool = createPool()
  const large = { ...GET, method: 'POST', body: new Uint8Array(30_000_000) }
  const first = await pool.exchange(upstream.address, large, { signal: signal() })
  t.is(await textOf(first.body), 'early')
  await pool.exchange(upstream.address, GET, { signal: signal() })
  t.is(upstream.connections, 2)
  pool.close()
})

test('cancelling a finished exchange does not affect the next one on its connection', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => setImmediate(() => socket.write(answer('hello')))))
  const pool = createPool()
  const stop = new AbortController()
  const first = await pool.exchange(upstream.address, GET, { signal: stop.signal })
  // The first answer is complete, but has not been read yet.
  await new Promise((resolve) => setImmediate(resolve))
  const second = pool.exchange(upstream.address, GET, { signal: signal() })
  stop.abort()
  t.is(await textOf((await second).body), 'hello')
  t.is(await textOf(first.body), 'hello')
  pool.close()
})

test('a request has not run if its connection was refused', async (t) => {
  const upstream = await startUpstream(t, () => {})
  const closed = createServer()
  closed.listen(0, '127.0.0.1')
  await once(closed, 'listening')
  const { port } = closed.address() as { port: number }
  closed.close()
  await once(closed, 'close')
  const error = await t.throwsAsync(createPool().exchange(`127.0.0.1:${port}`, GET, { signal: signal() }), { instanceOf: ExchangeError })
  t.is((error as ExchangeError).verdict, Verdict.NotRun)
  t.true((error as ExchangeError).unreachable)
  t.is(upstream.connections, 0)
})

test('a request whose connection was reset may have run', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.resetAndDestroy()))
  const error = await t.throwsAsync(createPool().exchange(upstream.address, GET, { signal: signal() }), { instanceOf: ExchangeError })
  t.is((error as ExchangeError).verdict, Verdict.MayHaveRun)
})

test('header values keep bytes above 127', async (t) => {
  const value = Array.from({ length: 128 }, (_, i) => String.fromCharCode(128 + i)).join('')
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.write(Buffer.from(answer('hello', `Note: ${value}\r\n`), 'latin1'))))
  const { headers, body } = await createPool().exchange(upstream.address, GET, { signal: signal() })
  t.is(headerValue(headers, 'note'), value)
  t.is(await textOf(body), 'hello')
})

test('an answer to HEAD is complete without a body of its content length', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n')))
  const pool = createPool()
  for (let nth = 0; nth < 2; nth++) {
    const { status, body } = await pool.exchange(upstream.address, { ...GET, method: 'HEAD' }, { signal: AbortSignal.timeout(5000) })
    t.is(status, 200)
    t.is(await textOf(body), '')
  }
  t.is(upstream.connections, 1)
  pool.close()
})

test('at the limit the connection that has been idle longest is closed', async (t) => {
  const clock = new VirtualClock()
  const [a, b, c] = await Promise.all([1, 2, 3].map(() => startUpstream(t, (socket) => socket.on('data', () => socket.write(answer('hello'))))))
  const pool = new ConnectionPool({ clock, connectTimeoutMs: 5000, maxConnections: 2 })
  t.teardown(() => pool.close())
  const ask = async ({ address }: Upstream) => textOf((await pool.exchange(address, GET, { signal: signal() })).body)
  for (const upstream of [a, b, c, b]) {
    t.is(await ask(upstream), 'hello')
    await clock.advance(10)
  }
  t.deepEqual([a, b, c].map(({ connections }) => connections), [1, 1, 1])
  await ask(a)
  await ask(c)
  t.deepEqual([a, b, c].map(({ connections }) => connections), [2, 1, 2])
})

test('a request has not run if all connections are in use, and its upstream is not reported as unreachable', async (t) => {
  const upstream = await startUpstream(t, () => {})
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000, maxConnections: 1 })
  t.teardown(() => pool.close())
  void pool.exchange(upstream.address, GET, { signal: signal() }).catch(() => {})
  const error = await t.throwsAsync(pool.exchange(upstream.address, GET, { signal: signal() }), { instanceOf: ExchangeError }) as ExchangeError
  t.is(error.verdict, Verdict.NotRun)
  t.false(error.unreachable)
  t.true(error.refused)
})

test('no more idle connections to an upstream are kept than this box\'s share', async (t) => {
  const waiting: Socket[] = []
  let batchSize = 3
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => {
    waiting.push(socket)
    if (waiting.length >= batchSize) waiting.splice(0).forEach((one) => one.write(answer('hello')))
  }))
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000, connectionShareOf: () => 2 })
  t.teardown(() => pool.close())
  const ask = async () => textOf((await pool.exchange(upstream.address, GET, { signal: signal() })).body)
  await Promise.all([ask(), ask(), ask()])
  t.is(upstream.connections, 3)
  batchSize = 2
  await Promise.all([ask(), ask()])
  t.is(upstream.connections, 3)
  batchSize = 3
  await Promise.all([ask(), ask(), ask()])
  t.is(upstream.connections, 4)
})

test('a connection from before an upstream\'s restart is not reused', async (t) => {
  const upstream = await startUpstream(t, (socket) => socket.on('data', () => socket.write(answer('hello'))))
  let start: string | undefined = 'e@100'
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000, startIdAt: () => start })
  const ask = async () => textOf((await pool.exchange(upstream.address, GET, { signal: signal() })).body)
  await ask()
  await ask()
  t.is(upstream.connections, 1)
  start = 'e@200'
  t.false(pool.hasIdle(upstream.address))
  await ask()
  t.is(upstream.connections, 2)
  start = undefined
  await ask()
  t.is(upstream.connections, 2)
})
