import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { StandInStore } from '@reelspan/utils.platform-stand-ins'
import test from 'ava'
import { Outcome, type PlatformProcess, sendRequest, startProcess, startService, waitUntilListening } from './__utils__/platformProcess.js'

const METRICS_PORT = 9464
const ANSWER_WAIT_MS = 300
const WORK_MS = 20
const EXIT_WITHIN_MS = 5000

const TARGETS = ['//', '///', '//[', 'http://[', '/%', '/%ff%', '*', '/v1/resolve?zone=%', '//[::1', '/\\\\[', 'x'.repeat(20_000), '/v1/readiness?%', '\u00ff']
const HEAD_LINES = ['Host: x', 'Upgrade: websocket\r\nConnection: Upgrade', 'Transfer-Encoding: chunked', 'Content-Length: 5', 'Expect: 100-continue', 'Expect: odd', 'Content-Length: -1', 'x']
const NOISE = ['\r\n\r\n', 'GET', '\0\0\0\0', 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 'GET / HTTP/9.9\r\n\r\n', 'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n']

/** Requests with odd targets and heads, and bytes that are no requests. */
function oddRequests (): string[] {
  return [...TARGETS.flatMap((target) => HEAD_LINES.map((line, i) => `${i % 2 === 0 ? 'GET' : 'POST'} ${target} HTTP/1.1\r\n${line}\r\n\r\n`)), ...NOISE]
}

/** Sends bytes and resolves with what came back. */
async function send (address: string, text: string): Promise<string> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host).on('error', () => {})
  let answer = ''
  socket.on('data', (bytes) => { answer += bytes.toString('latin1') })
  socket.write(text, 'latin1')
  await Promise.race([new Promise((resolve) => socket.once('close', resolve)), new Promise((resolve) => setTimeout(resolve, ANSWER_WAIT_MS))])
  socket.destroy()
  return answer
}

/** Addresses of all servers of a box. */
function serversOf ({ frontAddress, readyAddress, controlAddress, directoryAddress }: PlatformProcess): string[] {
  return [frontAddress, readyAddress, controlAddress, directoryAddress, `${frontAddress.split(':')[0]}:${METRICS_PORT}`]
}

// Guards against a request that ends the process of a box.
test('a box goes on whatever is sent to any of its ports', async (t) => {
  const store = new StandInStore()
  const storeAddress = await store.start()
  t.teardown(() => store.stop())
  await startService(t, store, WORK_MS)
  const started = await startProcess(t, { ip: '127.0.0.41', storeAddress })
  await waitUntilListening(started)
  while (!started.lines.some(({ event }) => event === 'started')) await new Promise((resolve) => setTimeout(resolve, 20))
  for (const address of serversOf(started)) {
    await Promise.all(oddRequests().map((text) => send(address, text)))
    t.is(started.box.exitCode, null, `after what was sent to ${address}`)
  }
  t.regex(await send(started.directoryAddress, 'GET http://[ HTTP/1.1\r\nHost: x\r\n\r\n'), /^HTTP\/1\.1 400 /)
  t.regex(await send(started.directoryAddress, 'GET // HTTP/1.1\r\nHost: x\r\n\r\n'), /^HTTP\/1\.1 404 /)
  t.is((await sendRequest(started)).outcome, Outcome.Whole)
  const failed = started.lines.filter(({ event }) => event === 'requestHandlerFailed')
  t.deepEqual(failed.map(({ reason }) => reason), [], 'requests that are at fault are no failures of the box')
})

// Guards against a process that neither serves nor ends, since what it listens on already keeps it alive.
test('a box whose metrics port is taken ends with an error that names it', async (t) => {
  const holder = createServer().listen(METRICS_PORT, '127.0.0.42')
  await once(holder, 'listening')
  t.teardown(() => { holder.close() })
  const store = new StandInStore()
  const storeAddress = await store.start()
  t.teardown(() => store.stop())
  const { box, errors } = await startProcess(t, { ip: '127.0.0.42', storeAddress })
  const [code] = await Promise.race([once(box, 'exit'), new Promise<[string]>((resolve) => setTimeout(() => resolve(['still running']), EXIT_WITHIN_MS))])
  t.is(code, 3)
  t.regex(errors.join(''), /metrics.*127\.0\.0\.42:9464/)
})
