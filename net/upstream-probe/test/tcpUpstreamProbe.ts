import { once } from 'node:events'
import { type AddressInfo, createServer } from 'node:net'
import { Readable } from 'node:stream'
import { SystemClock } from '@reelspan/net.system-env'
import { TcpUpstreamProbe } from '@reelspan/net.upstream-probe'
import { UpstreamProbeResult } from '@reelspan/upstream.client'
import test from 'ava'

test('reports an upstream as listening, and as refused after its process has exited', async (t) => {
  const probe = new TcpUpstreamProbe({ clock: new SystemClock() })
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  t.is(await probe.probe(address), UpstreamProbeResult.Listening)
  server.close()
  await once(server, 'close')
  t.is(await probe.probe(address), UpstreamProbeResult.Refused)
})

test('an upstream that sends without an end as soon as it is connected is closed', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    Readable.from((function * () { while (true) yield 'x'.repeat(65_536) })()).pipe(socket)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const closed = new Promise((resolve) => server.once('connection', (socket) => socket.once('close', resolve)))
  t.is(await new TcpUpstreamProbe({ clock: new SystemClock() }).probe(`127.0.0.1:${(server.address() as AddressInfo).port}`), UpstreamProbeResult.Listening)
  await closed
})
