import test, { type ExecutionContext } from 'ava'
import { headOf, sendAhead } from '../__utils__/crowd.js'
import { assertHolds, CALLER_CONNECTIONS, closeAtEnd, type Machine, startOwnMachine, startPlatformMachine } from '../__utils__/machine.js'

const REQUESTS_PER_CONNECTION = 20_000

interface Interface {
  box: string
  start: (t: ExecutionContext) => Promise<Machine>
  /** Targets of requests to each of its servers. */
  paths: Record<string, readonly string[]>
}

const INTERFACES: readonly Interface[] = [
  { box: 'of the users\' platform', start: startPlatformMachine, paths: { callers: ['/no/such', '/slow/x'], lookups: ['/no/such', '/v1/resolve'], readiness: ['/no/such', '/v1/readiness'], metrics: ['/metrics', '/state'], peers: ['/no/such'] } },
  { box: 'with the own interface', start: startOwnMachine, paths: { callers: ['/no/such', '/desk/x', '/v1/lookup'], operators: ['/no/such', '/metrics', '/debug/state'], peers: ['/no/such'] } },
]

// Guards against clients that end a process with requests whose answers they do not read.
INTERFACES.forEach(({ box, start, paths }) => Object.entries(paths).forEach(([server, targets]) => targets.forEach((target) => {
  test.serial(`a box ${box} stays within its machine while clients send requests for ${target} ahead to its server for ${server}`, async (t) => {
    const machine = await start(t)
    const request = `${headOf('GET', target)}\r\n`
    closeAtEnd(t, await sendAhead({ address: machine.addresses[server], connections: CALLER_CONNECTIONS, request, requestsPerConnection: REQUESTS_PER_CONNECTION }))
    await assertHolds(t, machine)
  })
})))
