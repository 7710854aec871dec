import { once } from 'node:events'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { Outcome, sendRequest, startProcess, waitUntilListening } from './__utils__/platformProcess.js'

const REQUESTS = 5

/** A store that accepts connections and never answers. */
async function startSilentStore (t: ExecutionContext): Promise<string> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => sockets.add(socket.on('error', () => {}).resume())).listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

test('requests that wait for the first configuration are refused when SIGTERM arrives during the start', async (t) => {
  const started = await startProcess(t, { ip: '127.0.0.13', storeAddress: await startSilentStore(t) })
  await waitUntilListening(started)
  const sends = Array.from({ length: REQUESTS }, () => sendRequest(started))
  // A connection that the box answers shows that it has read what was sent before.
  await waitUntilListening(started)
  const exited = once(started.box, 'exit')
  started.box.kill('SIGTERM')
  const outcomes = (await Promise.all(sends)).map(({ outcome }) => outcome)
  t.deepEqual(outcomes, Array.from({ length: REQUESTS }, () => Outcome.Refused))
  t.false(started.lines.some(({ event }) => event === 'started'), 'the signal arrived during the start')
  t.deepEqual(await exited, [0, null])
})
