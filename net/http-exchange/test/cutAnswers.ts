// Guards against a part of an answer that an upstream sends ahead of the next one and that becomes the status of that one.
import { once } from 'node:events'
import { createServer, type Socket } from 'node:net'
import { Verdict } from '@reelspan/core.error'
import { ConnectionPool, ExchangeError, headerValue } from '@reelspan/net.http-exchange'
import { SystemClock } from '@reelspan/net.system-env'
import test from 'ava'

const REFUSAL = 'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nId: a\r\nContent-Length: 0\r\n\r\n'
const OWN = 'HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nown'

for (const behind of [true, false]) {
  test(`a refusal that is cut at any byte ${behind ? 'behind a whole one' : 'ahead of the next answer'} does not refuse the next request`, async (t) => {
    for (let cutAt = 1; cutAt < REFUSAL.length; cutAt++) {
      const sockets: Socket[] = []
      let received = 0
      const server = createServer((socket) => {
        sockets.push(socket)
        socket.on('error', () => {})
        socket.on('data', () => {
          const cut = REFUSAL.slice(0, cutAt)
          if (received++ === 0) socket.write(REFUSAL + (behind ? cut : ''))
          else socket.write((behind || sockets.length > 1 ? '' : cut) + OWN)
        })
      })
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
      const address = `127.0.0.1:${(server.address() as { port: number }).port}`
      const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000 })
      const send = async (id: string) => {
        const { status, body } = await pool.exchange(address, { method: 'GET', target: '/', headers: ['Host', 'x', 'Id', id], body: new Uint8Array() }, {
          signal: new AbortController().signal,
          // As for requests whose upstream may leave out the id of a failure.
          accept: ({ status, headers }) => (headerValue(headers, 'id') ?? (status >= 400 ? id : undefined)) === id,
        })
        for await (const bytes of body) void bytes
        return status
      }
      t.is(await send('a'), 503)
      const outcome = await send('b').catch((thrown: unknown) => thrown)
      // Bytes behind the whole answer are read with it, and its connection is not reused.
      if (behind) t.is(outcome, 200, `cut at ${cutAt}`)
      t.true(outcome === 200 || (outcome instanceof ExchangeError && outcome.verdict === Verdict.MayHaveRun), `cut at ${cutAt}: ${String(outcome)}`)
      pool.close()
      sockets.forEach((socket) => socket.destroy())
      server.close()
    }
  })
}
