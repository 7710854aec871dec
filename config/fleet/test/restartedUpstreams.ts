import { FleetList, ReconciledFleet, type ListedUpstream, NewestStarts, UpstreamKind } from '@reelspan/config.fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function startOf (instance: string, startedAtMs: number, over: Partial<ListedUpstream> = {}): ListedUpstream {
  return { name: `${instance}@${startedAtMs}`, instance, startedAtMs, kind: UpstreamKind.Engine, address: `10.0.0.${instance}:1`, availabilityZone: 'a', pool: 'llm', leaving: false, ...over }
}

function createFleet () {
  const listed = { value: new FleetList([], []), revision: 0 }
  const platform = { unavailable: false }
  const fleet = new ReconciledFleet({ clock: new VirtualClock(), listed, mayHaveExpired: () => platform.unavailable })
  const list = (...upstreams: ListedUpstream[]) => {
    Object.assign(listed, { value: new FleetList([], upstreams), revision: listed.revision + 1 })
    return fleet.value.takingWork('llm').map(({ name }) => name)
  }
  return { platform, list }
}

test('a restarted upstream replaces its earlier start', (t) => {
  const { list } = createFleet()
  t.deepEqual(list(startOf('1', 100), startOf('2', 100)), ['1@100', '2@100'])
  t.deepEqual(list(startOf('1', 200), startOf('2', 100)), ['1@200', '2@100'])
})

test('the earlier start of an upstream that restarted elsewhere while the platform was unavailable is not retained', (t) => {
  const { platform, list } = createFleet()
  list(startOf('1', 100), startOf('2', 100))
  platform.unavailable = true
  t.deepEqual(list(startOf('1', 200, { address: '10.0.0.9:7' })), ['1@200', '2@100'])
})

test('a late entry of an older start does not replace the newer one', (t) => {
  const { list } = createFleet()
  list(startOf('1', 200))
  t.deepEqual(list(startOf('1', 100)), ['1@200'])
  t.deepEqual(list(startOf('1', 100), startOf('2', 100)), ['2@100', '1@200'])
  t.deepEqual(list(startOf('1', 300)), ['1@300'])
})

test('an older start that is listed after the newer one is gone gets no work', (t) => {
  const { list } = createFleet()
  list(startOf('1', 200))
  t.deepEqual(list(), [])
  t.deepEqual(list(startOf('1', 100)), [])
})

test('if two starts are listed, only the newer one gets work', (t) => {
  const { list } = createFleet()
  t.deepEqual(list(startOf('1', 100), startOf('1', 200)), ['1@200'])
})

test('upstreams without a start time stay as listed', (t) => {
  const starts = new NewestStarts()
  const plain = new FleetList([], [{ ...startOf('1', 0), name: '1', instance: undefined, startedAtMs: undefined }])
  t.is(starts.withoutOlderStarts(plain), plain)
})

test('the number of remembered starts is bounded', (t) => {
  const starts = new NewestStarts()
  const many = Array.from({ length: 5000 }, (_, i) => startOf(`i${i}`, 200))
  starts.withoutOlderStarts(new FleetList([], many))
  const last = starts.withoutOlderStarts(new FleetList([], [startOf('i0', 100), startOf('i4999', 100)]))
  t.deepEqual(last.upstreams.map(({ name }) => name), ['i0@100', 'i4999@200'])
})
