import { once } from 'node:events'
import { createServer } from 'node:http'
import { Collection } from '@reelspan/core.messages'
import { HttpPlatformReader } from '@reelspan/net.platform-http'
import { VirtualClock } from '@reelspan/utils.fakes'
import { FaultProxy, BlackholeDirection } from '@reelspan/utils.soak'
import test from 'ava'

for (const direction of Object.values(BlackholeDirection)) {
  test(`a read on an unresponsive connection (${direction}) times out after its wait, and later reads use new connections only`, async (t) => {
    const waiting: (() => void)[] = []
    // The maximum number of connections of the reader.
    let batchSize = 4
    let connections = 0
    const server = createServer({ keepAliveTimeout: 60_000 }, (_, response) => {
      waiting.push(() => response.end(JSON.stringify({ revision: 1, full: true, changes: [] })))
      if (waiting.length >= batchSize) waiting.splice(0).forEach((answer) => answer())
    })
    server.on('connection', () => { connections++ })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const proxy = new FaultProxy(() => `127.0.0.1:${(server.address() as { port: number }).port}`)
    await proxy.start()
    const clock = new VirtualClock()
    const reader = new HttpPlatformReader({ clock, addresses: [proxy.address], timeoutMs: 200 })
    t.teardown(async () => {
      await reader.close()
      proxy.stop()
      server.closeAllConnections()
      server.close()
    })
    const read = () => reader.read(Collection.Fleet, 0, { waitMs: 100 })
    await Promise.all([read(), read(), read(), read()])
    batchSize = 1
    batchSize = 1
    proxy.blackholeOpenConnections(direction)
    const arrived = direction === BlackholeDirection.ToClient ? once(server, 'request') : undefined
    const failed = t.throwsAsync(read(), { code: 'ERR_REELSPAN_PLATFORM_UNAVAILABLE' })
    await arrived
    await clock.advance(299)
    t.is(await Promise.race([failed, 'waits']), 'waits')
    await clock.advance(1)
    await failed
    batchSize = 4
    await Promise.all([read(), read(), read(), read()])
    t.true(connections >= 8)
  })
}
