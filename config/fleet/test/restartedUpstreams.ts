import { FleetList, GuardedFleet, type ListedUpstream, NewestStarts, UpstreamKind } from '@reelspan/config.fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function startOf (instance: string, startedAtMs: number, over: Partial<ListedUpstream> = {}): ListedUpstream {
  return { name: `${instance}@${startedAtMs}`, instance, startedAtMs, kind: UpstreamKind.Engine, address: `10.0.0.${instance}:1`, availabilityZone: 'a', pool: 'llm', leaving: false, ...over }
}

function createFleet () {
  const listed = { value: new FleetList([], []), revision: 0 }
  const guard = { lapsed: false }
  const fleet = new GuardedFleet({ clock: new VirtualClock(), listed, mayHaveLapsed: () => guard.lapsed })
  const list = (...upstreams: ListedUpstream[]) => {
    Object.assign(listed, { value: new FleetList([], upstreams), revision: listed.revision + 1 })
    return fleet.value.takingWork('llm').map(({ name }) => name)
  }
  return { guard, list }
}

test('an upstream that started again is another one, and the start before is gone', (t) => {
  const { list } = createFleet()
  t.deepEqual(list(startOf('1', 100), startOf('2', 100)), ['1@100', '2@100'])
  t.deepEqual(list(startOf('1', 200), startOf('2', 100)), ['1@200', '2@100'])
})

test('an upstream that started again elsewhere while the platform was away is not kept as its start before', (t) => {
  const { guard, list } = createFleet()
  list(startOf('1', 100), startOf('2', 100))
  guard.lapsed = true
  t.deepEqual(list(startOf('1', 200, { address: '10.0.0.9:7' })), ['1@200', '2@100'])
})

test('word of an older start does not take the place of the newer one', (t) => {
  const { list } = createFleet()
  list(startOf('1', 200))
  t.deepEqual(list(startOf('1', 100)), ['1@200'])
  t.deepEqual(list(startOf('1', 100), startOf('2', 100)), ['2@100', '1@200'])
  t.deepEqual(list(startOf('1', 300)), ['1@300'])
})

test('an older start that shows up after the newer one is gone gets no work', (t) => {
  const { list } = createFleet()
  list(startOf('1', 200))
  t.deepEqual(list(), [])
  t.deepEqual(list(startOf('1', 100)), [])
})

test('of two starts that are listed at once only the newer one gets work', (t) => {
  const { list } = createFleet()
  t.deepEqual(list(startOf('1', 100), startOf('1', 200)), ['1@200'])
})

test('upstreams that do not tell of their start stay as they are listed', (t) => {
  const starts = new NewestStarts()
  const plain = new FleetList([], [{ ...startOf('1', 0), name: '1', instance: undefined, startedAtMs: undefined }])
  t.is(starts.take(plain), plain)
})

test('what is remembered of starts is bounded', (t) => {
  const starts = new NewestStarts()
  const many = Array.from({ length: 5000 }, (_, i) => startOf(`i${i}`, 200))
  starts.take(new FleetList([], many))
  const last = starts.take(new FleetList([], [startOf('i0', 100), startOf('i4999', 100)]))
  t.deepEqual(last.upstreams.map(({ name }) => name), ['i0@100', 'i4999@200'])
})
