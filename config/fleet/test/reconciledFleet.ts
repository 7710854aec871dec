import { FleetList, ReconciledFleet, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function upstream (name: string, over: Partial<ListedUpstream> = {}): ListedUpstream {
  return { name, kind: UpstreamKind.Service, address: `10.0.0.${name}:1`, availabilityZone: 'a', pool: 'desk', leaving: false, ...over }
}

function createFleet () {
  const listed = { value: new FleetList([], []), revision: 0 }
  const platform = { unavailable: false }
  const fleet = new ReconciledFleet({ clock: new VirtualClock(), listed, mayHaveExpired: () => platform.unavailable })
  const list = (...upstreams: ListedUpstream[]) => Object.assign(listed, { value: new FleetList([], upstreams), revision: listed.revision + 1 })
  const names = () => fleet.value.takingWork('desk').map(({ name }) => name)
  return { fleet, platform, list, names }
}

test('an upstream that is no longer listed gets no work', (t) => {
  const { list, names } = createFleet()
  list(upstream('1'), upstream('2'))
  t.deepEqual(names(), ['1', '2'])
  list(upstream('1'))
  t.deepEqual(names(), ['1'])
})

test('entries that expired while the platform was unavailable are retained until they must be registered again', (t) => {
  const { fleet, platform, list, names } = createFleet()
  list(upstream('1'), upstream('2'))
  t.deepEqual(names(), ['1', '2'])
  platform.unavailable = true
  list()
  t.deepEqual(names(), ['1', '2'])
  list(upstream('2'))
  t.deepEqual(names(), ['2', '1'])
  const { revision } = fleet
  platform.unavailable = false
  t.deepEqual(names(), ['2'])
  t.true(fleet.revision > revision)
})

test('a leaving upstream is not retained', (t) => {
  const { platform, list, names } = createFleet()
  list(upstream('1', { leaving: true }), upstream('2'))
  t.deepEqual(names(), ['2'])
  platform.unavailable = true
  list()
  t.deepEqual(names(), ['2'])
})

test('an upstream whose address is used by another one is not retained', (t) => {
  const { platform, list, names } = createFleet()
  list(upstream('1'))
  t.deepEqual(names(), ['1'])
  platform.unavailable = true
  list(upstream('3', { address: '10.0.0.1:1' }))
  t.deepEqual(names(), ['3'])
})

test('an upstream that is known to be draining is leaving, whatever the list contains, and is not retained', (t) => {
  const listed = { value: new FleetList([], []), revision: 0 }
  const draining = { revision: 0, names: new Set<string>(), has: (name: string) => draining.names.has(name) }
  const platform = { unavailable: false }
  const fleet = new ReconciledFleet({ clock: new VirtualClock(), listed, mayHaveExpired: () => platform.unavailable, draining })
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
  platform.unavailable = true
  list()
  t.deepEqual(names(), ['2', '3'])
  t.deepEqual(fleet.missing, ['2', '3'])
})
