import test from 'ava'
import { ClientBehaviour, headOf, visitInWaves } from '../__utils__/crowd.js'
import { assertHolds, CALLER_CONNECTIONS, closeAtEnd, startOwnMachine, startPlatformMachine } from '../__utils__/machine.js'

const WAVES = 12
const PER_WAVE = 5 * CALLER_CONNECTIONS
/** As large as the declared limit on heads allows. */
const HEAD_BYTES = 16_000
const REQUESTS_AHEAD = 200

const INTERFACES = [
  { box: 'of the users\' platform', start: startPlatformMachine, paths: { callers: '/slow/x', lookups: '/v1/resolve', readiness: '/v1/readiness', metrics: '/metrics', peers: '/no/such' } },
  { box: 'with the own interface', start: startOwnMachine, paths: { callers: '/desk/x', operators: '/debug/state', peers: '/no/such' } },
]

/** Clients that send nothing, a part of a head or of a body, a whole request, or many of them. Each of them leaves early or stays. */
function kindsOf (target: string) {
  const head = headOf('POST', target)
  const request = `${head}Content-Length: 0\r\n\r\n`
  const texts = ['', `${head}X: ${'x'.repeat(HEAD_BYTES)}`, `${head}Content-Length: 100000\r\n\r\nbrief`, request, request.repeat(REQUESTS_AHEAD)]
  return texts.flatMap((text) => [ClientBehaviour.Leave, ClientBehaviour.Wait].map((behaviour) => ({ text, behaviour })))
}

// Guards against crowds that end a process, or keep it from serving others.
INTERFACES.forEach(({ box, start, paths }) => Object.entries(paths).forEach(([server, target]) => {
  test.serial(`a box ${box} stays within its machine while many clients connect to its server for ${server} and half of them leave early`, async (t) => {
    const machine = await start(t)
    closeAtEnd(t, await visitInWaves(machine.addresses[server], { waves: WAVES, perWave: PER_WAVE, kinds: kindsOf(target) }))
    await assertHolds(t, machine)
  })
}))
