import test from 'ava'
import { headOf, sendAhead } from '../__utils__/crowd.js'
import { assertHolds, closeAtEnd, MANY_DESCRIPTORS, startOwnMachine, startPlatformMachine } from '../__utils__/machine.js'

const FIELDS = 1900
const FIELD_LENGTH = 20
const INTERFACES = [{ box: 'of the users\' platform', start: startPlatformMachine }, { box: 'with the own interface', start: startOwnMachine }]
const HEAD = headOf('GET', '/no/such')
const INCOMPLETE_HEAD = HEAD + Array.from({ length: FIELDS }, (_, i) => `x${i}: ${'y'.repeat(FIELD_LENGTH)}\r\n`).join('')

// Each read of a connection is parsed whole, and what was parsed stays in memory until all connections have been read.
const CROWDS = [
  { sends: 'many requests ahead', request: `${HEAD}\r\n`, requestsPerConnection: 20_000 },
  { sends: 'some requests ahead', request: `${HEAD}\r\n`, requestsPerConnection: 12 },
  { sends: 'heads with many fields and no end', request: INCOMPLETE_HEAD, requestsPerConnection: 1 },
]

// Guards against crowds as large as a machine has descriptors for.
INTERFACES.forEach(({ box, start }) => CROWDS.forEach(({ sends, ...crowd }) => {
  test.serial(`a box ${box} stays within its machine while a crowd on all of its callers' connections sends ${sends}`, async (t) => {
    const machine = await start(t, MANY_DESCRIPTORS)
    closeAtEnd(t, await sendAhead({ ...crowd, address: machine.addresses.callers, connections: MANY_DESCRIPTORS.callerConnections }))
    await assertHolds(t, machine)
  })
}))

INTERFACES.forEach(({ box, start }) => {
  test.serial(`a box ${box} stays within its machine while as large a crowd sends many requests ahead to its server for peers`, async (t) => {
    const machine = await start(t, MANY_DESCRIPTORS)
    closeAtEnd(t, await sendAhead({ ...CROWDS[0], address: machine.addresses.peers, connections: MANY_DESCRIPTORS.callerConnections }))
    await assertHolds(t, machine)
  })
})
