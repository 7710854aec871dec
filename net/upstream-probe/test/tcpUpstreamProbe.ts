import { once } from 'node:events'
import { type AddressInfo, createServer } from 'node:net'
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
