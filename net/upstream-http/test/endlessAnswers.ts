import { once } from 'node:events'
import { createServer } from 'node:http'
import { type AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import { Verdict } from '@reelspan/core.error'
import { AnswerKind, type OversizedAnswer, SystemClock } from '@reelspan/net.system-env'
import { HttpEngineClient, HttpServiceClient } from '@reelspan/net.upstream-http'
import { type DecodeEvent, UpstreamError } from '@reelspan/upstream.client'
import { type EndlessAnswer, EndlessPace, startEndlessServer } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

/** Far longer than a bounded answer takes. */
const LONG = { timeoutMs: 20_000 }
const SHORT = { timeoutMs: 300 }
/** One read of a socket. */
const READ_BYTES = 65_536
const LABEL = { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'i', requestId: 'r', maxHoldMs: 1000 }
const DECODE = { label: LABEL, model: 'draft', prefillAddress: '10.0.0.2:1', maxTokens: 3, priority: 0, fromIndex: 0, firstIndex: 0 }
const lineOf = (event: object) => `${JSON.stringify({ label: LABEL, ...event })}\n`

function createClients (t: ExecutionContext) {
  const oversized: OversizedAnswer[] = []
  const opts = { clock: new SystemClock(), onOversized: (answer: OversizedAnswer) => oversized.push(answer) }
  const engines = new HttpEngineClient(opts)
  const services = new HttpServiceClient(opts)
  t.teardown(() => Promise.all([engines.close(), services.close()]))
  return { engines, services, oversized }
}

async function startEndless (t: ExecutionContext, answer: EndlessAnswer) {
  const server = await startEndlessServer(answer)
  t.teardown(server.stop)
  return { ...server, ...createClients(t) }
}

/** Starts an engine that answers with `first`, and then with `rest` again and again. */
async function startEngine (t: ExecutionContext, first: string, rest: string) {
  const server = createServer((_, response) => {
    Readable.from((function * () {
      yield first
      while (true) yield rest
    })()).pipe(response)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function collect (stream: AsyncIterable<DecodeEvent>, events: DecodeEvent[] = []): Promise<DecodeEvent[]> {
  for await (const event of stream) events.push(event)
  return events
}

async function assertFails (t: ExecutionContext, call: Promise<unknown>, message: RegExp) {
  const error = await t.throwsAsync<UpstreamError>(call, { instanceOf: UpstreamError, message })
  t.is(error?.verdict, Verdict.MayHaveRun)
}

function assertOversized (t: ExecutionContext, oversized: readonly OversizedAnswer[], kind: AnswerKind) {
  t.deepEqual(oversized.map((answer) => answer.kind), [kind])
  oversized.forEach(({ readBytes, maxBytes }) => t.true(readBytes > maxBytes && readBytes <= maxBytes + READ_BYTES, `${readBytes} of ${maxBytes} bytes`))
}

test('a report without an end fails at its bound', async (t) => {
  const { address, engines, oversized, closings } = await startEndless(t, { status: 200 })
  await assertFails(t, engines.report(address, LONG), /larger than/)
  await Promise.all(closings)
  assertOversized(t, oversized, AnswerKind.EngineCall)
})

test('a report that trickles without an end fails soon after its timeout', async (t) => {
  const { address, engines, closings } = await startEndless(t, { status: 200, pace: EndlessPace.Trickle })
  const startedAtMs = performance.now()
  await assertFails(t, engines.report(address, SHORT), /not complete within/)
  t.true(performance.now() - startedAtMs < 2000)
  await Promise.all(closings)
})

test('a refusal without an end fails by its status', async (t) => {
  const { address, engines, oversized, closings } = await startEndless(t, { status: 500 })
  await assertFails(t, engines.report(address, LONG), /status 500/)
  await Promise.all(closings)
  assertOversized(t, oversized, AnswerKind.Error)
})

test('a decode stream whose event has no end fails at its bound', async (t) => {
  const { address, engines, oversized, closings } = await startEndless(t, { status: 200 })
  await assertFails(t, collect(engines.decode(address, DECODE, LONG)), /larger than/)
  await Promise.all(closings)
  assertOversized(t, oversized, AnswerKind.Event)
})

test('a decode stream whose event trickles without an end fails soon after its timeout', async (t) => {
  const { address, engines, closings } = await startEndless(t, { status: 200, pace: EndlessPace.Trickle })
  const startedAtMs = performance.now()
  await assertFails(t, collect(engines.decode(address, DECODE, SHORT)), /no complete line/)
  t.true(performance.now() - startedAtMs < 2000)
  await Promise.all(closings)
})

test('a decode stream that repeats an event without an end fails', async (t) => {
  const event = lineOf({ index: 0, text: 'a' })
  const events: DecodeEvent[] = []
  const stream = createClients(t).engines.decode(await startEngine(t, event, event), DECODE, LONG)
  await assertFails(t, collect(stream, events), /more than 4 events/)
  t.is(events.length, 4)
})

test('bytes without an end behind a whole decode stream do not make it fail', async (t) => {
  const address = await startEngine(t, lineOf({ index: 0, text: 'a' }) + lineOf({ end: true, count: 1 }), 'x'.repeat(1000))
  t.is((await collect(createClients(t).engines.decode(address, DECODE, LONG))).length, 2)
})

test('the reply of a service without an end fails at its bound', async (t) => {
  const { address, services, oversized, closings } = await startEndless(t, { status: 200 })
  await assertFails(t, services.call(address, { requestKey: 'k', method: 'GET', path: '/', body: new Uint8Array() }, LONG), /larger than/)
  await Promise.all(closings)
  assertOversized(t, oversized, AnswerKind.Service)
})
