import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { toReelspanError } from '@reelspan/core.error'
import { RequestBudget } from '@reelspan/net.byte-budget'
import { readRequestBody, RequestPart, RequestTimeGuard, SystemClock } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

const LIMIT_MS = 400
const KEEP_ALIVE_MS = 200
/** Node closes a kept connection so much later than it says. */
const KEEP_ALIVE_BUFFER_MS = 1000
/** Of Node's servers. */
const DEFAULT_KEEP_ALIVE_MS = 5000
const SLOW_HEAD_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n'
const HEAD = 'POST / HTTP/1.1\r\nHost: x\r\n'

/** Starts a server that answers each request with the length of its body, or with the code of the error, and connects callers to it. */
async function startServer (t: ExecutionContext, requestBytes = 1_000_000, keepAliveTimeout = DEFAULT_KEEP_ALIVE_MS) {
  const clock = new SystemClock()
  const budget = new RequestBudget({ clock, totalBytes: requestBytes })
  const slowParts: RequestPart[] = []
  const serve = async (message: IncomingMessage, response: ServerResponse) => {
    const account = budget.open()
    response.on('close', () => account.release())
    try {
      const body = await readRequestBody(message, { maxBytes: 500_000, account, signal: guard.signalOf(message) })
      response.end(String(body.byteLength))
    } catch (thrown) {
      response.end(toReelspanError(thrown).code)
    }
  }
  const server = createServer({ keepAliveTimeout }, (message, response) => { void serve(message, response) })
  const guard = new RequestTimeGuard(server, { clock, headReadMs: () => LIMIT_MS, bodyReadMs: () => LIMIT_MS, idleMs: () => 4 * LIMIT_MS, slowHeadResponse: SLOW_HEAD_RESPONSE, onSlowRequest: (part) => slowParts.push(part) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const sockets: Socket[] = []
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy())
    server.closeAllConnections()
    server.close()
  })
  const open = () => {
    const socket = connect((server.address() as { port: number }).port, '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    const received = { text: '', closed: new Promise<void>((resolve) => { socket.on('close', () => resolve()) }) }
    socket.on('data', (bytes) => { received.text += String(bytes) })
    const waitFor = async (text: string) => { while (!received.text.includes(text)) await once(socket, 'data') }
    return { socket, received, waitFor }
  }
  return { clock, budget, slowParts, open }
}

test('a head that arrives too slowly is answered with 408 and closed, also if it trickles, and also on a connection used before', async (t) => {
  const { clock, slowParts, open } = await startServer(t)
  const [stopped, trickling, reused] = [open(), open(), open()]
  reused.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`)
  await reused.waitFor('\r\n\r\n2');
  [stopped, trickling, reused].forEach(({ socket }) => socket.write(HEAD))
  const startMs = clock.nowMs()
  const trickle = setInterval(() => trickling.socket.write('X-A: b\r\n'), 20)
  await Promise.all([stopped, trickling, reused].map(({ received }) => received.closed))
  clearInterval(trickle)
  t.true(clock.nowMs() - startMs >= LIMIT_MS);
  [stopped, trickling, reused].forEach(({ received }) => t.true(received.text.endsWith(SLOW_HEAD_RESPONSE)))
  t.deepEqual(slowParts, Array.from({ length: 3 }, () => RequestPart.Head))
})

test('a request that arrived on a kept connection is served though its process was held up past the idle timeout, which still closes the connection', async (t) => {
  const { open } = await startServer(t, undefined, KEEP_ALIVE_MS)
  const caller = open()
  caller.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`)
  await caller.waitFor('\r\n\r\n2')
  // Timers fire after this phase of the event loop, and before it reads sockets.
  setImmediate(() => {
    caller.socket.write(`${HEAD}Content-Length: 3\r\n\r\nyes`)
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2 * KEEP_ALIVE_MS + KEEP_ALIVE_BUFFER_MS)
  })
  await caller.received.closed
  t.true(caller.received.text.endsWith('\r\n\r\n3'))
})

test('a body that arrives too slowly ends with the error, not before its time, and its bytes are released', async (t) => {
  const { clock, budget, open } = await startServer(t)
  const caller = open()
  const startMs = clock.nowMs()
  caller.socket.write(`${HEAD}Content-Length: 9\r\n\r\nhalf`)
  await caller.waitFor('ERR_REELSPAN_REQUEST_TOO_SLOW')
  t.true(clock.nowMs() - startMs >= LIMIT_MS)
  await caller.received.closed
  t.is(budget.usedBytes, 0)
})

test('idle kept-alive connections, one with an additional line end, and a new connection are not slow heads', async (t) => {
  const { clock, slowParts, open } = await startServer(t)
  const callers = ['ok', 'ok\r\n'].map((body) => {
    const caller = open()
    caller.socket.write(`${HEAD}Content-Length: 2\r\n\r\n${body}`)
    return caller
  })
  const fresh = open()
  await clock.sleep(2.5 * LIMIT_MS);
  [...callers, fresh].forEach(({ socket }) => socket.write(`${HEAD}Content-Length: 3\r\n\r\nyes`))
  await Promise.all([...callers, fresh].map(({ waitFor }) => waitFor('\r\n\r\n3')))
  t.deepEqual(slowParts, [])
})

test('a request that arrives while this process is paused for longer than the limit is served', async (t) => {
  const { slowParts, open } = await startServer(t)
  const [head, body] = [open(), open()]
  head.socket.write(HEAD)
  body.socket.write(`${HEAD}Content-Length: 4\r\n\r\nha`)
  await new Promise((resolve) => setTimeout(resolve, LIMIT_MS / 4))
  head.socket.write('Content-Length: 4\r\n\r\nhalf')
  body.socket.write('lf')
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 5 * LIMIT_MS)
  await Promise.all([head, body].map(({ waitFor }) => waitFor('\r\n\r\n4')))
  t.deepEqual(slowParts, [])
})

test('a body that exceeds the budget is refused before it is read, and its connection serves the next request', async (t) => {
  const { clock, budget, open } = await startServer(t, 1000)
  const [holder, refused] = [open(), open()]
  holder.socket.write(`${HEAD}Content-Length: 901\r\n\r\n${'x'.repeat(900)}`)
  while (budget.usedBytes < 900) await clock.sleep(1)
  refused.socket.write(`${HEAD}Content-Length: 200\r\n\r\n`)
  await refused.waitFor('ERR_REELSPAN_BODIES_FULL')
  refused.socket.write(`${'x'.repeat(200)}${HEAD}Transfer-Encoding: chunked\r\n\r\n64\r\n${'y'.repeat(100)}\r\n0\r\n\r\n`)
  await refused.waitFor('\r\n\r\n100')
  refused.socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n65\r\n${'y'.repeat(101)}\r\n0\r\n\r\n`)
  await refused.waitFor('ERR_REELSPAN_BODIES_FULL')
  holder.socket.write('x')
  await holder.waitFor('\r\n\r\n901')
  refused.socket.write(`${HEAD}Content-Length: 500001\r\n\r\n`)
  await refused.waitFor('ERR_REELSPAN_BODY_TOO_LARGE')
  t.is(refused.received.text.match(/BODIES_FULL/g)?.length, 2)
})
