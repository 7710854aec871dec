import { once } from 'node:events'
import { type AddressInfo, createServer } from 'node:net'
import { HttpEngineClient, HttpServiceClient } from '@reelspan/net.upstream-http'
import { SystemClock } from '@reelspan/net.system-env'
import { Verdict } from '@reelspan/core.error'
import { EngineRole, UpstreamError } from '@reelspan/upstream.client'
import { EngineModel, promptFor, ServiceModel } from '@reelspan/utils.fakes'
import { createEngineServer, createServiceServer, fetchPrefillResultOverHttp, listenOn } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

const OPTS = { timeoutMs: 2000 }
const LABEL = { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'i', requestId: 'r', maxHoldMs: 1000 }
const MODEL = { model: 'draft', version: '1' }

async function startEngine (t: ExecutionContext, role: EngineRole) {
  const engine = new EngineModel({ clock: new SystemClock(), name: role, role, loaded: [MODEL], exportFrom: fetchPrefillResultOverHttp })
  const server = createEngineServer(engine)
  const address = await listenOn(server)
  t.teardown(() => { server.closeAllConnections() })
  t.teardown(() => { server.close() })
  return { engine, address, server }
}

function createClient (t: ExecutionContext): HttpEngineClient {
  const engines = new HttpEngineClient({ clock: new SystemClock() })
  t.teardown(() => engines.close())
  return engines
}

test('a prompt is prefilled on one engine and decoded on another', async (t) => {
  const prefill = await startEngine(t, EngineRole.Prefill)
  const decode = await startEngine(t, EngineRole.Decode)
  const engines = createClient(t)
  await engines.prefill(prefill.address, { label: LABEL, model: 'draft', prompt: promptFor('p', { answerTokens: 3 }), priority: 0 }, OPTS)
  t.is((await engines.report(prefill.address, OPTS)).holds.length, 1)
  const events = []
  for await (const event of engines.decode(decode.address, { label: LABEL, model: 'draft', prefillAddress: prefill.address, maxTokens: 9, priority: 0, fromIndex: 0, firstIndex: 0 }, OPTS)) events.push(event)
  t.is(events.length, 4)
  t.like(events[3], { end: true, count: 3 })
  t.deepEqual((await engines.report(prefill.address, OPTS)).holds, [])
})

test('a call has not run if the engine does not listen', async (t) => {
  const { address, server } = await startEngine(t, EngineRole.Prefill)
  await new Promise((resolve) => server.close(resolve))
  const error = await t.throwsAsync<UpstreamError>(createClient(t).report(address, OPTS), { instanceOf: UpstreamError })
  t.is(error?.verdict, Verdict.NotRun)
})

test('a call that the engine refused before it began has not run', async (t) => {
  const { address } = await startEngine(t, EngineRole.Decode)
  const error = await t.throwsAsync<UpstreamError>(createClient(t).prefill(address, { label: LABEL, model: 'draft', prompt: 'x', priority: 0 }, OPTS), { instanceOf: UpstreamError })
  t.true(error?.refused)
  t.is(error?.verdict, Verdict.NotRun)
})

test('a call to a service may have run if the connection was lost', async (t) => {
  const service = new ServiceModel({ clock: new SystemClock(), name: 's', workMs: 5000 })
  const server = createServiceServer(service)
  const address = await listenOn(server)
  const services = new HttpServiceClient({ clock: new SystemClock() })
  t.teardown(() => services.close())
  const call = services.call(address, { requestKey: 'k', method: 'POST', path: '/', body: Buffer.from('x') }, OPTS)
  server.on('request', () => setImmediate(() => server.closeAllConnections()))
  const error = await t.throwsAsync<UpstreamError>(call, { instanceOf: UpstreamError })
  t.is(error?.verdict, Verdict.MayHaveRun)
  server.close()
})

test('an answer of a service without a length whose connection is reset is not whole', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy()))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const services = new HttpServiceClient({ clock: new SystemClock() })
  t.teardown(() => server.close())
  t.teardown(() => services.close())
  const call = { requestKey: 'k', method: 'GET', path: '/', body: new Uint8Array() }
  const error = await t.throwsAsync(services.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, call, OPTS), { instanceOf: UpstreamError })
  t.is(error?.verdict, Verdict.MayHaveRun)
})
