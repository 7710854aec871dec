import test from 'ava'
import { headOf, keepConnected } from '../__utils__/crowd.js'
import { assertHolds, CALLER_CONNECTIONS, startOwnMachine, startPlatformMachine } from '../__utils__/machine.js'

/** Twice as many as the box takes, so that they take each free connection. */
const CONNECTIONS = 2 * CALLER_CONNECTIONS

const INTERFACES = [
  { box: 'of the users\' platform', start: startPlatformMachine, target: '/slow/x' },
  { box: 'with the own interface', start: startOwnMachine, target: '/desk/x' },
]
const PARTS: readonly [string, (head: string) => string][] = [
  ['nothing', () => ''],
  ['a part of a head', (head) => head],
  ['a part of a body', (head) => `${head}Content-Length: 100000\r\n\r\nbrief`],
]

// Guards against crowds that keep others out with connections on which they request nothing.
INTERFACES.forEach(({ box, start, target }) => PARTS.forEach(([part, textOf]) => {
  test.serial(`a box ${box} serves others while clients that send ${part} connect again as soon as they are disconnected`, async (t) => {
    const machine = await start(t)
    const crowd = await keepConnected(machine.addresses.callers, CONNECTIONS, textOf(headOf('POST', target)))
    t.teardown(crowd.stop)
    await assertHolds(t, machine)
  })
}))
