import { once } from 'node:events'
import { createServer } from 'node:http'
import { Verdict } from '@reelspan/core.error'
import { ConnectionPool, ExchangeError, type ExchangeOptions } from '@reelspan/net.http-exchange'
import { type Clock } from '@reelspan/core.env'
import { SystemClock } from '@reelspan/net.system-env'
import { VirtualClock } from '@reelspan/utils.fakes'
import { FaultProxy, BlackholeDirection } from '@reelspan/utils.soak'
import test, { type ExecutionContext } from 'ava'

const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }
/** Longer than the time without an answer after which the upstream's other idle connections are closed as well. */
const CANCEL_AFTER_MS = 400

/** A generous timeout for exchanges that are answered at once unless their connection is unresponsive. */
const EXCHANGE_TIMEOUT_MS = 10_000

/** Starts an upstream behind a proxy, and a pool. The upstream answers all pending requests once it has `batchSize` of them. */
async function startUpstream (t: ExecutionContext, { keepAliveS = 60, clock = new SystemClock() }: { keepAliveS?: number, clock?: Clock } = {}) {
  const upstream = { address: '', served: 0, connections: 0, batchSize: 1 }
  const waiting: (() => void)[] = []
  const server = createServer({ keepAliveTimeout: keepAliveS * 1000 }, (_, response) => {
    upstream.served++
    waiting.push(() => response.end('hello'))
    if (waiting.length >= upstream.batchSize) waiting.splice(0).forEach((answer) => answer())
  })
  server.on('connection', () => { upstream.connections++ })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const proxy = new FaultProxy(() => `127.0.0.1:${(server.address() as { port: number }).port}`)
  await proxy.start()
  upstream.address = proxy.address
  const pool = new ConnectionPool({ clock, connectTimeoutMs: 5000 })
  t.teardown(() => {
    pool.close()
    proxy.stop()
    server.closeAllConnections()
    server.close()
  })
  const ask = async (opts: Partial<ExchangeOptions> = {}) => {
    const { body } = await pool.exchange(proxy.address, GET, { signal: AbortSignal.timeout(EXCHANGE_TIMEOUT_MS), ...opts })
    for await (const bytes of body) void bytes
  }
  /** Opens connections until this many are idle. */
  const keepIdle = async (count: number) => {
    upstream.batchSize = count
    await Promise.all(Array.from({ length: count }, () => ask()))
    upstream.batchSize = 1
  }
  return { upstream, proxy, pool, ask, keepIdle }
}

for (const direction of Object.values(BlackholeDirection)) {
  test(`once a reused connection is found unresponsive (${direction}), older idle connections are not reused`, async (t) => {
    const { upstream, proxy, ask, keepIdle } = await startUpstream(t)
    await keepIdle(3)
    proxy.blackholeOpenConnections(direction)
    const error = await t.throwsAsync(ask({ signal: AbortSignal.timeout(CANCEL_AFTER_MS) }), { instanceOf: ExchangeError })
    t.is((error as ExchangeError).verdict, Verdict.MayHaveRun)
    await ask()
    t.is(upstream.connections, 4)
    // No request was sent twice.
    t.is(upstream.served, direction === BlackholeDirection.ToClient ? 5 : 4)
  })
}

test('an idle connection that received data after the request on the unresponsive one was sent is reused', async (t) => {
  const { upstream, proxy, ask, keepIdle } = await startUpstream(t)
  await ask()
  proxy.blackholeOpenConnections(BlackholeDirection.BothWays)
  const cancelled = t.throwsAsync(ask({ signal: AbortSignal.timeout(CANCEL_AFTER_MS) }), { instanceOf: ExchangeError })
  await keepIdle(2)
  await cancelled
  await ask()
  t.is(upstream.connections, 3)
})

test('a slow answer on a new connection does not close the idle connections', async (t) => {
  const { upstream, ask, keepIdle } = await startUpstream(t)
  await keepIdle(2)
  upstream.batchSize = Number.POSITIVE_INFINITY
  await t.throwsAsync(ask({ signal: AbortSignal.timeout(CANCEL_AFTER_MS), forceNewConnection: true }), { instanceOf: ExchangeError })
  upstream.batchSize = 1
  await ask()
  t.is(upstream.connections, 3)
})

test('a connection whose exchange was cancelled is not reused', async (t) => {
  const { upstream, proxy, ask } = await startUpstream(t)
  proxy.blackholeOpenConnections(BlackholeDirection.BothWays)
  await ask()
  proxy.blackholeOpenConnections(BlackholeDirection.ToClient)
  await t.throwsAsync(ask({ signal: AbortSignal.timeout(50) }), { instanceOf: ExchangeError })
  await ask()
  t.is(upstream.connections, 2)
})

test('an exchange that requires a new connection does not reuse an idle one', async (t) => {
  const { upstream, ask } = await startUpstream(t)
  await ask()
  await ask({ forceNewConnection: true })
  t.is(upstream.connections, 2)
  await ask()
  t.is(upstream.connections, 2)
})

test('idle connections that received nothing since a given time can be closed for all upstreams', async (t) => {
  const clock = new VirtualClock()
  const { upstream, pool, ask, keepIdle } = await startUpstream(t, { clock })
  await keepIdle(2)
  await clock.advance(1000)
  await ask()
  pool.closeIdleInactiveSince(clock.nowMs())
  await ask()
  t.is(upstream.connections, 2)
  pool.closeIdleInactiveSince(clock.nowMs() + 1)
  await ask()
  t.is(upstream.connections, 3)
})

test('a connection that has been idle for long is not reused, even if its upstream would keep it', async (t) => {
  const clock = new VirtualClock()
  const { upstream, ask } = await startUpstream(t, { clock, keepAliveS: 3600 })
  await ask()
  await clock.advance(9000)
  await ask()
  t.is(upstream.connections, 1)
  await clock.advance(10_000)
  await ask()
  t.is(upstream.connections, 2)
})
