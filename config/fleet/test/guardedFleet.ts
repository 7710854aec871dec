import { FleetList, GuardedFleet, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function upstream (name: string, over: Partial<ListedUpstream> = {}): ListedUpstream {
  return { name, kind: UpstreamKind.Service, address: `10.0.0.${name}:1`, availabilityZone: 'a', pool: 'desk', leaving: false, ...over }
}

function createFleet () {
  const listed = { value: new FleetList([], []), revision: 0 }
  const guard = { lapsed: false }
  const fleet = new GuardedFleet({ clock: new VirtualClock(), listed, mayHaveLapsed: () => guard.lapsed })
  const list = (...upstreams: ListedUpstream[]) => Object.assign(listed, { value: new FleetList([], upstreams), revision: listed.revision + 1 })
  const names = () => fleet.value.takingWork('desk').map(({ name }) => name)
  return { fleet, guard, list, names }
}

test('an upstream that is listed no more gets no work', (t) => {
  const { list, names } = createFleet()
  list(upstream('1'), upstream('2'))
  t.deepEqual(names(), ['1', '2'])
  list(upstream('1'))
  t.deepEqual(names(), ['1'])
})

test('entries that lapsed while the platform was away are kept until they must be back', (t) => {
  const { fleet, guard, list, names } = createFleet()
  list(upstream('1'), upstream('2'))
  t.deepEqual(names(), ['1', '2'])
  guard.lapsed = true
  list()
  t.deepEqual(names(), ['1', '2'])
  list(upstream('2'))
  t.deepEqual(names(), ['2', '1'])
  const { revision } = fleet
  guard.lapsed = false
  t.deepEqual(names(), ['2'])
  t.true(fleet.revision > revision)
})

test('an upstream that had said that it leaves is not kept', (t) => {
  const { guard, list, names } = createFleet()
  list(upstream('1', { leaving: true }), upstream('2'))
  t.deepEqual(names(), ['2'])
  guard.lapsed = true
  list()
  t.deepEqual(names(), ['2'])
})

test('an upstream whose address has another one is not kept', (t) => {
  const { guard, list, names } = createFleet()
  list(upstream('1'))
  t.deepEqual(names(), ['1'])
  guard.lapsed = true
  list(upstream('3', { address: '10.0.0.1:1' }))
  t.deepEqual(names(), ['3'])
})

test('an upstream that is known to be draining is leaving, whatever the list says, and nobody keeps it', (t) => {
  const listed = { value: new FleetList([], []), revision: 0 }
  const draining = { revision: 0, names: new Set<string>(), has: (name: string) => draining.names.has(name) }
  const guard = { lapsed: false }
  const fleet = new GuardedFleet({ clock: new VirtualClock(), listed, mayHaveLapsed: () => guard.lapsed, draining })
  const list = (...upstreams: ListedUpstream[]) => Object.assign(listed, { value: new FleetList([], upstreams), revision: listed.revision + 1 })
  const names = () => fleet.value.takingWork('desk').map(({ name }) => name)
  list(upstream('1'), upstream('2'))
  t.deepEqual(names(), ['1', '2'])
  const { revision } = fleet
  draining.names.add('1')
  draining.revision++
  t.deepEqual(names(), ['2'])
  t.true(fleet.revision > revision)
  t.true(fleet.value.upstream('1')?.leaving)
  list(upstream('1'), upstream('2'), upstream('3'))
  t.deepEqual(names(), ['2', '3'])
  guard.lapsed = true
  list()
  t.deepEqual(names(), ['2', '3'])
  t.deepEqual(fleet.missing, ['2', '3'])
})
