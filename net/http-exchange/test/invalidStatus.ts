// Guards against bytes of an upstream in trouble that are taken for an answer, or for one that precedes it.
import { once } from 'node:events'
import { createServer, type Socket } from 'node:net'
import { ConnectionPool, ExchangeError } from '@reelspan/net.http-exchange'
import { SystemClock } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }
const TIMEOUT_MS = 5000
const WHOLE_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

/** Asks an upstream that sends this text for each request. */
async function ask (t: ExecutionContext, text: string) {
  const sockets: Socket[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', () => socket.write(text))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: TIMEOUT_MS })
  t.teardown(() => {
    pool.close()
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })
  const { status, body } = await pool.exchange(`127.0.0.1:${(server.address() as { port: number }).port}`, GET, { signal: AbortSignal.timeout(TIMEOUT_MS) })
  for await (const part of body) void part
  return status
}

['000', '042', '099', '600', '999', '20', '2000', '200x'].forEach((status) => {
  test(`an answer with status ${status} is broken off, and is neither passed on nor skipped for the next one`, async (t) => {
    const head = `HTTP/1.1 ${status} Unknown\r\n`
    const texts = [`${head}Content-Length: 2\r\n\r\nno`, `${head}Content-Length: 0\r\n\r\n`, `${head}\r\n${WHOLE_ANSWER}`]
    const outcomes = await Promise.allSettled(texts.map((text) => ask(t, text)))
    outcomes.forEach((outcome) => {
      t.is(outcome.status, 'rejected')
      if (outcome.status === 'rejected') t.true(outcome.reason instanceof ExchangeError && /invalid HTTP answer/.test(outcome.reason.message), String(outcome.reason))
    })
  })
})

test('interim answers with statuses of HTTP precede the answer', async (t) => {
  t.is(await ask(t, `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n${WHOLE_ANSWER}`), 200)
})
