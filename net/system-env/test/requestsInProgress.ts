import { createServer, type RequestListener, type ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { ClientLimit, listenAt, RequestsInProgress } from '@reelspan/net.system-env'
import test, { type ExecutionContext } from 'ava'

const MAX_AHEAD = 10
const REQUEST = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

/** Starts a server whose answers the test sends, and returns a function that connects a client. */
async function startServer (t: ExecutionContext, handle: RequestListener = () => {}) {
  const responses: ServerResponse[] = []
  const exceeded: ClientLimit[] = []
  const server = createServer()
  const limit = new RequestsInProgress({ maxAhead: MAX_AHEAD, onClosed: (limit) => exceeded.push(limit) })
  limit.serve(server, (message, response) => {
    responses.push(response)
    handle(message, response)
  })
  await listenAt(server, '127.0.0.1:0')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const open = (text: string) => {
    const socket = connect((server.address() as { port: number }).port, '127.0.0.1')
    const client: { answers: number, code?: string, closed: Promise<unknown> } = { answers: 0, closed: new Promise((resolve) => socket.on('close', resolve)) }
    socket.on('data', (bytes) => { client.answers += String(bytes).split('HTTP/1.1 ').length - 1 })
    socket.on('error', ({ code }: NodeJS.ErrnoException) => { client.code = code })
    socket.write(text)
    return client
  }
  return { limit, responses, exceeded, open }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

test('requests sent ahead are served as long as a connection takes no more of the limit than it leaves free', async (t) => {
  const { limit, responses, exceeded, open } = await startServer(t)
  const client = open(REQUEST.repeat(1 + MAX_AHEAD / 2))
  await until(() => responses.length === 1 + MAX_AHEAD / 2)
  t.is(limit.ahead, MAX_AHEAD / 2)
  responses.forEach((response) => response.end())
  await until(() => client.answers === responses.length)
  await until(() => limit.ahead === 0)
  t.deepEqual(exceeded, [])
})

test('a connection that sends more ahead is reset, the rest of what it sent is not served, and others with one request are', async (t) => {
  const { limit, responses, exceeded, open } = await startServer(t)
  const crowd = Array.from({ length: 4 }, () => open(REQUEST.repeat(100)))
  await Promise.all(crowd.map(({ closed }) => closed))
  t.deepEqual(crowd.map(({ code }) => code), crowd.map(() => 'ECONNRESET'))
  t.deepEqual(exceeded, crowd.map(() => ClientLimit.RequestsAhead))
  t.true(responses.length <= crowd.length + MAX_AHEAD * crowd.length)
  await until(() => limit.ahead === 0)
  const client = open(REQUEST)
  const before = responses.length
  await until(() => responses.length > before)
  responses[before].end()
  await until(() => client.answers === 1)
  t.is(client.answers, 1)
})

test('requests with large bodies and small ones behind them are read whole, also while answers wait', async (t) => {
  const { limit, open, responses } = await startServer(t, (message, response) => {
    let bytes = 0
    message.on('data', (part: Buffer) => { bytes += part.byteLength })
    message.on('end', () => { response.setHeader('Body-Bytes', bytes) })
  })
  const bodies = [200_000, 3, 70_000].map((bytes) => `POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`)
  const client = open(bodies.join(''))
  await until(() => responses.length === 3 && responses.every((response) => response.hasHeader('Body-Bytes')))
  responses.forEach((response) => response.end())
  await until(() => client.answers === 3)
  t.deepEqual(responses.map((response) => response.getHeader('Body-Bytes')), [200_000, 3, 70_000])
  await until(() => limit.ahead === 0)
})

test('a large body whose request is refused at once is read to its end, and the connection serves the next request', async (t) => {
  const { exceeded, open, responses } = await startServer(t, (message, response) => {
    message.resume()
    if (message.method === 'POST') response.end('refused')
  })
  const client = open(`POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n${'x'.repeat(8_000_000)}${REQUEST}`)
  await until(() => responses.length === 2 || client.code !== undefined)
  responses[1]?.end()
  await until(() => client.answers === 2 || client.code !== undefined)
  t.deepEqual({ answers: client.answers, code: client.code, exceeded }, { answers: 2, code: undefined, exceeded: [] })
})

test('connections whose incomplete heads take most of the memory for them are reset, and a whole head is served', async (t) => {
  const { exceeded, open, responses } = await startServer(t)
  const crowd = Array.from({ length: 300 }, () => open(`${REQUEST.slice(0, -2)}x: ${'x'.repeat(14_000)}`))
  await until(() => exceeded.length > 0)
  open(REQUEST)
  await until(() => responses.length === 1)
  t.true(crowd.some(({ code }) => code === undefined))
  t.true(exceeded.every((limit) => limit === ClientLimit.IncompleteHeads))
})

test('while others use the limit up, a connection with one request after the other is served', async (t) => {
  const { limit, responses, open } = await startServer(t);
  [6, 4, 2].forEach((requests) => open(REQUEST.repeat(requests)))
  await until(() => responses.length === 12)
  t.is(limit.ahead, 9)
  open(REQUEST)
  await until(() => responses.length === 13)
  t.is(limit.ahead, 9)
})

test('an expectation that is not known is refused within the limit', async (t) => {
  const { exceeded, open } = await startServer(t)
  const odd = REQUEST.replace('Host: x', 'Host: x\r\nExpect: odd')
  const [single, many] = [open(odd), open(odd.repeat(400))]
  await until(() => single.answers === 1)
  await many.closed
  t.deepEqual(exceeded.length, 1)
})
