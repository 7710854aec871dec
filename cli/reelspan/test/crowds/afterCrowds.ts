import { readdirSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import test, { type ExecutionContext } from 'ava'
import { ClientBehaviour, headOf, visitInWaves } from '../__utils__/crowd.js'
import { assertHolds, CALLER_CONNECTIONS, type Machine, startOwnMachine, startPlatformMachine } from '../__utils__/machine.js'

const WAVES = 4
const PER_WAVE = 4 * CALLER_CONNECTIONS
const ROUNDS = 3
const REQUESTS_AHEAD = 100
const POLL_MS = 100
/** Idle connections to the service are closed after a minute. */
const TIMEOUT_MS = 240_000
/** Connections of the test itself, to the box and from it to the service, the store and itself. */
const MAX_MORE_DESCRIPTORS = 10
const HELD = ['reelspan_caller_requests_ahead', 'reelspan_caller_head_bytes', 'reelspan_request_body_bytes', 'reelspan_answer_buffered_bytes', 'reelspan_requests_in_flight']

const INTERFACES: readonly { box: string, start: (t: ExecutionContext) => Promise<Machine>, server: string, paths: readonly string[] }[] = [
  { box: 'of the users\' platform', start: startPlatformMachine, server: 'metrics', paths: ['/no/such', '/slow/x'] },
  { box: 'with the own interface', start: startOwnMachine, server: 'operators', paths: ['/no/such', '/desk/x', '/v1/lookup'] },
]

/** Begun heads and bodies, one request and many, from clients that leave, wait, half-close or read. */
function kindsOf (paths: readonly string[]) {
  const texts = paths.flatMap((path) => {
    const head = headOf('POST', path)
    const request = `${head}Content-Length: 0\r\n\r\n`
    return [head, `${head}Content-Length: 100000\r\n\r\nbrief`, request, request.repeat(REQUESTS_AHEAD)]
  })
  return texts.flatMap((text) => Object.values(ClientBehaviour).map((behaviour) => ({ text, behaviour })))
}

async function readMetrics ({ addresses }: Machine, server: string): Promise<Map<string, number>> {
  const text = await (await fetch(`http://${addresses[server]}/metrics`, { headers: { connection: 'close' } })).text()
  return new Map(text.split('\n').map((line) => line.split(' ')).map(([name, value]) => [name, Number(value)]))
}

// Guards against what a crowd leaves behind in a process.
INTERFACES.forEach(({ box, start, server, paths }) => {
  test.serial(`a box ${box} holds nothing of crowds that have gone, whether they left early, half-closed their connections or read their answers`, async (t) => {
    const machine = await start(t)
    t.timeout(TIMEOUT_MS)
    const descriptors = () => readdirSync(`/proc/${machine.box.pid}/fd`).length
    const before = descriptors()
    for (let round = 0; round < ROUNDS; round++) {
      const sockets = await visitInWaves(machine.addresses.callers, { waves: WAVES, perWave: PER_WAVE, kinds: kindsOf(paths) })
      sockets.forEach((socket) => socket.destroy())
    }
    await assertHolds(t, machine)
    const isGone = async () => {
      const metrics = await readMetrics(machine, server)
      return HELD.every((name) => metrics.get(name) === 0) && descriptors() <= before + MAX_MORE_DESCRIPTORS
    }
    while (!await isGone()) await sleep(POLL_MS)
    const closed = [...await readMetrics(machine, server)].filter(([name]) => name.startsWith('reelspan_connections_closed_total{'))
    t.log(closed, { before, after: descriptors() })
    t.true(closed.some(([name]) => name.includes('server="callers"') && name.includes('limit="requestsAhead"')))
  })
})
