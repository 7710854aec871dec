import { once } from 'node:events'
import { createServer } from 'node:http'
import { Verdict } from '@reelspan/core.error'
import { ConnectionPool, ExchangeError, type ExchangeOptions } from '@reelspan/net.http-exchange'
import { type Clock } from '@reelspan/core.env'
import { SystemClock } from '@reelspan/net.system-env'
import { VirtualClock } from '@reelspan/utils.fakes'
import { FaultProxy, Silence } from '@reelspan/utils.soak'
import test, { type ExecutionContext } from 'ava'

const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }
/** Longer than a kept connection may say nothing before others of its upstream are doubted. */
const GIVEN_UP_AFTER_MS = 400

/** For exchanges that are answered at once, unless they are lost. */
const LOST_AFTER_MS = 10_000

/** An upstream behind a proxy, and a pool. Answers all that wait once `together` requests have come. */
async function startUpstream (t: ExecutionContext, { keepAliveS = 60, clock = new SystemClock() }: { keepAliveS?: number, clock?: Clock } = {}) {
  const upstream = { address: '', served: 0, connections: 0, together: 1 }
  const waiting: (() => void)[] = []
  const server = createServer({ keepAliveTimeout: keepAliveS * 1000 }, (_, response) => {
    upstream.served++
    waiting.push(() => response.end('hello'))
    if (waiting.length >= upstream.together) waiting.splice(0).forEach((answer) => answer())
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
    const { body } = await pool.exchange(proxy.address, GET, { signal: AbortSignal.timeout(LOST_AFTER_MS), ...opts })
    for await (const bytes of body) void bytes
  }
  /** Leaves so many kept connections. */
  const keep = async (count: number) => {
    upstream.together = count
    await Promise.all(Array.from({ length: count }, () => ask()))
    upstream.together = 1
  }
  return { upstream, proxy, pool, ask, keep }
}

for (const way of Object.values(Silence)) {
  test(`when one kept connection is found silent (${way}), the others from before are not used again`, async (t) => {
    const { upstream, proxy, ask, keep } = await startUpstream(t)
    await keep(3)
    proxy.silenceOpen(way)
    const error = await t.throwsAsync(ask({ signal: AbortSignal.timeout(GIVEN_UP_AFTER_MS) }), { instanceOf: ExchangeError })
    t.is((error as ExchangeError).verdict, Verdict.MayHaveRun)
    await ask()
    t.is(upstream.connections, 4)
    // Nothing was sent twice.
    t.is(upstream.served, way === Silence.ToClient ? 5 : 4)
  })
}

test('a kept connection that was heard of since the silent one was used stays in use', async (t) => {
  const { upstream, proxy, ask, keep } = await startUpstream(t)
  await ask()
  proxy.silenceOpen(Silence.BothWays)
  const silent = t.throwsAsync(ask({ signal: AbortSignal.timeout(GIVEN_UP_AFTER_MS) }), { instanceOf: ExchangeError })
  await keep(2)
  await silent
  await ask()
  t.is(upstream.connections, 3)
})

test('an answer that takes long on a new connection is no reason to doubt the others', async (t) => {
  const { upstream, ask, keep } = await startUpstream(t)
  await keep(2)
  upstream.together = Number.POSITIVE_INFINITY
  await t.throwsAsync(ask({ signal: AbortSignal.timeout(GIVEN_UP_AFTER_MS), fresh: true }), { instanceOf: ExchangeError })
  upstream.together = 1
  await ask()
  t.is(upstream.connections, 3)
})

test('a connection whose answer was given up is not used again', async (t) => {
  const { upstream, proxy, ask } = await startUpstream(t)
  proxy.silenceOpen(Silence.BothWays)
  await ask()
  proxy.silenceOpen(Silence.ToClient)
  await t.throwsAsync(ask({ signal: AbortSignal.timeout(50) }), { instanceOf: ExchangeError })
  await ask()
  t.is(upstream.connections, 2)
})

test('an exchange that is to be on a new connection uses no kept one', async (t) => {
  const { upstream, ask } = await startUpstream(t)
  await ask()
  await ask({ fresh: true })
  t.is(upstream.connections, 2)
  await ask()
  t.is(upstream.connections, 2)
})

test('kept connections that were not heard of since some time can be given up, for all upstreams', async (t) => {
  const clock = new VirtualClock()
  const { upstream, pool, ask, keep } = await startUpstream(t, { clock })
  await keep(2)
  await clock.advance(1000)
  await ask()
  pool.distrustKept(clock.nowMs())
  await ask()
  t.is(upstream.connections, 2)
  pool.distrustKept(clock.nowMs() + 1)
  await ask()
  t.is(upstream.connections, 3)
})

test('a connection is not kept for ever, whatever its upstream says', async (t) => {
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
