import { once } from 'node:events'
import { connect } from 'node:net'
import { type AddressInfo } from 'node:net'
import { type BoxAdmission } from '@reelspan/accounts.admission'
import { keyDigest } from '@reelspan/accounts.keys'
import { checkResources } from '@reelspan/config.resources'
import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { type AnswerEvent, AnswerEventKind, type RoutedRequest } from '@reelspan/core.messages'
import { type CallerBox, createCallerServer, createOperatorServer, type OperatorBox } from '@reelspan/net.http-front'
import { createMemoryLimits, type MemoryLimits, RequestsInProgress, SystemClock } from '@reelspan/net.system-env'
import { NO_ACCOUNTS, sampleDeclarations } from '@reelspan/utils.fakes'
import test, { type ExecutionContext } from 'ava'

const TOKENS: AnswerEvent[] = ['a', 'b'].map((text, index) => ({ kind: AnswerEventKind.Token, index, text }))
const FINISHED: AnswerEvent = { kind: AnswerEventKind.Final, verdict: Verdict.Finished, eventCount: 2, promptTokens: 3 }
const REFUSED: AnswerEvent = { kind: AnswerEventKind.Final, verdict: Verdict.NotRun, code: ErrorCode.Overloaded, message: 'full', retryAfterMs: 1200, eventCount: 0 }

interface ServerOptions {
  events?: AnswerEvent[]
  boxOverrides?: Partial<CallerBox>
  slowCallerMs?: number
  bodyBytes?: number
  requestReadMs?: number
  connections?: number
  memory?: MemoryLimits
}

async function startServer (t: ExecutionContext, { events = [...TOKENS, FINISHED], boxOverrides, ...limits }: ServerOptions = {}) {
  const requests: RoutedRequest[] = []
  const disconnects: boolean[] = []
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const box: CallerBox = {
    ready: true,
    admission: NO_ACCOUNTS,
    configuration,
    createKey: () => 'made-up-key',
    lookup: async () => ({ boxes: [], keepMs: 5000, keyPrefix: 'rs1-x' }),
    cancel: async () => {},
    submit: async function * (request, signal) {
      requests.push(request)
      signal.addEventListener('abort', () => disconnects.push(true))
      yield * events
    },
    ...boxOverrides,
  }
  const server = createCallerServer({ clock: new SystemClock(), box, headerBytes: 16_384, bodyBytes: 10_000, slowCallerMs: 10_000, requestReadMs: 10_000, connections: 100, inProgress: new RequestsInProgress({ maxAhead: 100 }), ...limits })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.closeAllConnections())
  t.teardown(() => { server.close() })
  const { port } = server.address() as AddressInfo
  return { url: `http://127.0.0.1:${port}`, port, requests, disconnects }
}

function complete (url: string, body: object, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`${url}/v1/completions`, { method: 'POST', body: JSON.stringify(body), headers })
}

test('a completion without `stream` is answered with one JSON body', async (t) => {
  const { url, requests } = await startServer(t)
  const response = await complete(url, { model: 'draft', prompt: 'hi', max_tokens: 5 }, { 'reelspan-client': 'bank' })
  t.is(response.status, 200)
  t.is(response.headers.get('reelspan-verdict'), Verdict.Finished)
  t.like(await response.json(), { choices: [{ text: 'ab', finish_reason: 'stop' }], usage: { prompt_tokens: 3, completion_tokens: 2 } })
  t.like(requests[0], { client: 'bank', route: 'drafts', maxTokens: 5, key: 'made-up-key', ttftTargetMs: 390 })
})

test('a completion is streamed as server-sent events that end with the verdict', async (t) => {
  const { url } = await startServer(t)
  const text = await (await complete(url, { model: 'draft', prompt: 'hi', stream: true })).text()
  const parts = text.trim().split('\n\n').map((part) => part.replace('data: ', ''))
  t.is(parts.at(-1), '[DONE]')
  t.is(JSON.parse(parts[0]).choices[0].text, 'a')
  t.is(JSON.parse(parts[2]).reelspan.verdict, Verdict.Finished)
})

test('a refused completion is answered with verdict notRun and a retry delay', async (t) => {
  const { url } = await startServer(t, { events: [REFUSED] })
  for (const stream of [true, false]) {
    const response = await complete(url, { model: 'draft', prompt: 'hi', stream })
    t.is(response.status, 429)
    t.is(response.headers.get('reelspan-verdict'), Verdict.NotRun)
    t.is(response.headers.get('reelspan-code'), ErrorCode.Overloaded)
    t.is(response.headers.get('retry-after'), '2')
    t.is(response.headers.get('reelspan-retry-after-ms'), '1200')
    t.like(await response.json(), { error: { code: ErrorCode.Overloaded, message: 'full' } })
  }
})

test('an error names the invalid field or header', async (t) => {
  const { url, requests } = await startServer(t)
  const messageOf = async (response: Response) => (await response.json() as { error: { message: string } }).error.message
  t.regex(await messageOf(await complete(url, { model: 'draft' })), /^prompt: /)
  t.regex(await messageOf(await complete(url, { model: 'draft', prompt: 'x', max_tokens: 0 })), /^max_tokens: /)
  t.is(await messageOf(await fetch(`${url}/v1/completions`, { method: 'POST', body: '{' })), 'body: not JSON')
  t.is(await messageOf(await complete(url, { model: 'nobody', prompt: 'x' })), 'no route for model «nobody»')
  t.is(await messageOf(await complete(url, { model: 'draft', prompt: 'x' }, { 'reelspan-deadline-ms': '5s' })), 'reelspan-deadline-ms: expected a whole number of milliseconds')
  t.is(await messageOf(await complete(url, { model: 'draft', prompt: 'x' }, { 'reelspan-not-repeatable': 'yes' })), 'reelspan-not-repeatable: expected true or false')
  t.is((await fetch(`${url}/nowhere`)).status, 404)
  t.deepEqual(requests, [])
})

test('a body over the limit is refused', async (t) => {
  const { url } = await startServer(t)
  const response = await complete(url, { model: 'draft', prompt: 'x'.repeat(20_000) })
  t.is(response.status, 413)
  t.is(response.headers.get('reelspan-verdict'), Verdict.NotRun)
})

test('headers over the limit are refused', async (t) => {
  const { url } = await startServer(t)
  t.is((await fetch(`${url}/v1/lookup`, { headers: { long: 'x'.repeat(20_000) } })).status, 431)
})

test('no key is created for a call that must not be repeated', async (t) => {
  const { url, requests } = await startServer(t, { events: [REFUSED] })
  await fetch(`${url}/desk/bookings`, { method: 'POST' })
  await fetch(`${url}/desk/other`, { method: 'POST', headers: { 'reelspan-not-repeatable': 'true' } })
  await fetch(`${url}/desk/other`, { method: 'POST' })
  t.deepEqual(requests.map(({ key, notRepeatable }) => [key, notRepeatable]), [['none', true], ['none', true], ['made-up-key', false]])
})

test('a call to a service is answered with the service\'s response', async (t) => {
  const reply: AnswerEvent = { kind: AnswerEventKind.Response, status: 201, contentType: 'text/plain', body: Buffer.from('booked') }
  const { url } = await startServer(t, { events: [reply, FINISHED] })
  const response = await fetch(`${url}/desk/bookings`, { method: 'POST', headers: { 'idempotency-key': '"k"' } })
  t.is(response.status, 201)
  t.is(await response.text(), 'booked')
  t.is(response.headers.get('reelspan-verdict'), Verdict.Finished)
})

test('a box without configuration answers 503 with a retry delay', async (t) => {
  const { url } = await startServer(t, { boxOverrides: { ready: false } })
  const response = await fetch(`${url}/v1/lookup`)
  t.is(response.status, 503)
  t.is(response.headers.get('retry-after'), '1')
  t.is((await fetch(`${url}/healthz`)).status, 503)
})

test('a request is aborted when its caller disconnects', async (t) => {
  const disconnected = withResolvers()
  const { url } = await startServer(t, {
    boxOverrides: {
      submit: async function * (_, signal) {
        yield TOKENS[0]
        await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve()))
        disconnected.resolve()
      },
    },
  })
  const response = await complete(url, { model: 'draft', prompt: 'hi', stream: true })
  await response.body?.cancel()
  await t.notThrowsAsync(disconnected.promise)
})

test('a caller that does not read its answer is disconnected', async (t) => {
  const disconnected = withResolvers()
  const big = 'x'.repeat(100_000)
  const { port } = await startServer(t, {
    slowCallerMs: 100,
    boxOverrides: {
      submit: async function * (_, signal) {
        signal.addEventListener('abort', () => disconnected.resolve())
        for (let index = 0; !signal.aborted && index < 10_000; index++) yield { kind: AnswerEventKind.Token, index, text: big }
      },
    },
  })
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  const body = JSON.stringify({ model: 'draft', prompt: 'hi', stream: true })
  socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  socket.pause()
  await t.notThrowsAsync(disconnected.promise)
  socket.destroy()
})

test('a caller that sends its request too slowly gets status 408', async (t) => {
  const { port } = await startServer(t, { requestReadMs: 200 })
  const socket = connect(port, '127.0.0.1')
  socket.write('POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{')
  const answer = await new Promise<string>((resolve) => {
    let text = ''
    socket.on('data', (chunk) => { text += String(chunk) })
    socket.on('close', () => resolve(text))
  })
  t.regex(answer, /408/)
})

test('a request whose body exceeds the request budget is refused with 503 as not run', async (t) => {
  const memory = createMemoryLimits({ clock: new SystemClock(), answerBytes: 1_000_000, requestBytes: 100, slowCallerMs: 10_000 })
  memory.requests.open().add(80)
  const { url, requests } = await startServer(t, { memory })
  const response = await complete(url, { model: 'draft', prompt: 'hi' })
  t.is(response.status, 503)
  t.is(response.headers.get('reelspan-verdict'), Verdict.NotRun)
  t.is(response.headers.get('reelspan-code'), ErrorCode.BodiesFull)
  t.deepEqual(requests, [])
})

test('operators must send the configured token', async (t) => {
  const box = { describe: () => ({ self: 'x' }) } as unknown as OperatorBox
  const server = createOperatorServer({ clock: new SystemClock(), box, token: 'secret', bodyBytes: 1000 })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/debug/state`
  t.is((await fetch(url)).status, 401)
  t.is((await fetch(url, { headers: { authorization: 'Bearer wrong' } })).status, 401)
  t.deepEqual(await (await fetch(url, { headers: { authorization: 'Bearer secret' } })).json(), { self: 'x' })
})

test('a thrown error is answered with its code and verdict', async (t) => {
  const { url } = await startServer(t, { boxOverrides: { lookup: async () => { throw new ReelspanError(ErrorCode.Draining, 'stopping', { retryAfterMs: 10 }) } } })
  const response = await fetch(`${url}/v1/lookup`)
  t.is(response.headers.get('reelspan-code'), ErrorCode.Draining)
  t.is(response.headers.get('reelspan-verdict'), Verdict.NotRun)
})

function withResolvers () {
  let resolve: () => void = () => {}
  const promise = new Promise<void>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

test('a server at its connection limit reports that it is not ready', async (t) => {
  const { url, port } = await startServer(t, { connections: 10 })
  t.is((await fetch(`${url}/healthz`, { headers: { connection: 'close' } })).status, 200)
  const sockets = Array.from({ length: 9 }, () => connect(port, '127.0.0.1'))
  t.teardown(() => sockets.forEach((socket) => socket.destroy()))
  await Promise.all(sockets.map((socket) => once(socket, 'connect')))
  t.is((await fetch(`${url}/healthz`)).status, 503)
})

const BANK_ADMISSION: BoxAdmission = {
  usesAccounts: true,
  hasFreshProof: true,
  admit: async ({ keyDigest: digest, sizeTokens }) => {
    if (digest === keyDigest('k1')) return { account: `bank-${sizeTokens ?? 'unsized'}`, releaseCost: () => {} }
    if (digest === undefined) return { releaseCost: () => {} }
    throw new ReelspanError(ErrorCode.AccountKey, 'no client account has this key')
  },
}

test('if accounts are configured, the account key determines a request\'s client, not the client header', async (t) => {
  const { url, requests } = await startServer(t, { boxOverrides: { admission: BANK_ADMISSION } })
  const body = { model: 'draft', prompt: 'hi', max_tokens: 5 }
  await complete(url, body, { 'reelspan-client': 'telecom', authorization: 'Bearer k1' })
  await complete(url, body, { 'reelspan-client': 'telecom' })
  t.deepEqual(requests.map(({ client }) => client), ['bank-6', 'default'])
})

test('a request with an unknown account key is answered with 401 and does not run', async (t) => {
  const { url, requests } = await startServer(t, { boxOverrides: { admission: BANK_ADMISSION } })
  const response = await complete(url, { model: 'draft', prompt: 'hi' }, { authorization: 'Bearer k2' })
  t.is(response.status, 401)
  t.is(response.headers.get('reelspan-verdict'), Verdict.NotRun)
  t.is(requests.length, 0)
})
