import { FleetList, ReconciledFleet, type ListedUpstream, REREGISTRATION_MS, UpstreamKind } from '@reelspan/config.fleet'
import { orderedRevisionOf } from '@reelspan/config.store'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

/** Longer than an entry is listed after its upstream has exited. */
const ENTRY_TTL_MS = 5000

function upstream (name: string, over: Partial<ListedUpstream> = {}): ListedUpstream {
  return { name, kind: UpstreamKind.Service, address: `10.0.0.${name}:1`, availabilityZone: 'a', pool: 'desk', leaving: false, ...over }
}

function createFleet () {
  const clock = new VirtualClock()
  const listed = { value: new FleetList([], []), revision: 0 }
  const fleet = new ReconciledFleet({ clock, listed, mayHaveExpired: () => false })
  const names = () => fleet.value.takingWork('desk').map(({ name }) => name)
  const list = (era: number, revision: number, ...upstreams: ListedUpstream[]) => {
    Object.assign(listed, { value: new FleetList([], upstreams), revision: orderedRevisionOf({ era, revision }) })
    return names()
  }
  return { clock, fleet, names, list }
}

test('an upstream that was leaving gets no work when a restored copy lists it as ready', async (t) => {
  const { clock, fleet, names, list } = createFleet()
  list(0, 90, upstream('1'), upstream('2'))
  list(0, 100, upstream('1', { leaving: true }), upstream('2'))
  t.deepEqual(list(1, 90, upstream('1'), upstream('2')), ['2'])
  t.deepEqual(fleet.rememberedDraining, ['1'])
  await clock.advance(600_000)
  t.deepEqual(names(), ['2'], 'also a long time later')
  t.deepEqual(list(1, 91, upstream('1', { leaving: true }), upstream('2')), ['2'])
  t.deepEqual(list(1, 92, upstream('2')), ['2'])
})

test('an upstream that was leaving and is gone gets no work when a restored copy lists it', async (t) => {
  const { clock, names, list } = createFleet()
  list(0, 90, upstream('1', { leaving: true }), upstream('2'))
  list(0, 100, upstream('2'))
  t.deepEqual(list(1, 90, upstream('1'), upstream('2')), ['2'])
  await clock.advance(ENTRY_TTL_MS)
  t.deepEqual(names(), ['2'])
})

test('an upstream that was gone gets no work until a restored copy has listed it for longer than an entry lives', async (t) => {
  const { clock, fleet, names, list } = createFleet()
  list(0, 90, upstream('1'), upstream('2'))
  list(0, 100, upstream('2'))
  t.deepEqual(list(1, 90, upstream('1'), upstream('2')), ['2'])
  const { revision } = fleet
  await clock.advance(ENTRY_TTL_MS)
  t.deepEqual(names(), ['1', '2'])
  t.true(fleet.revision > revision)
})

test('an upstream that is missing in a restored copy is retained until it has had time to register again', async (t) => {
  const { clock, fleet, names, list } = createFleet()
  list(0, 90, upstream('1'))
  list(0, 100, upstream('1'), upstream('2'))
  t.deepEqual(list(1, 90, upstream('1')), ['1', '2'])
  t.deepEqual(fleet.missing, ['2'])
  t.deepEqual(list(1, 91, upstream('1'), upstream('2'), upstream('3')), ['1', '2', '3'])
  t.deepEqual(list(2, 90, upstream('1'), upstream('3')), ['1', '3', '2'], 'a second restore')
  await clock.advance(REREGISTRATION_MS)
  t.deepEqual(names(), ['1', '3'])
})

test('an upstream that was missing in one restored copy and listed in the next one gets work', async (t) => {
  const { clock, list } = createFleet()
  list(0, 100, upstream('1'), upstream('2'))
  list(1, 90, upstream('1'))
  await clock.advance(500)
  t.deepEqual(list(2, 80, upstream('1'), upstream('2')), ['1', '2'])
})

test('the next start of an upstream that was leaving before the restore gets work', (t) => {
  const { list } = createFleet()
  const start = (startedAtMs: number, over: Partial<ListedUpstream> = {}) => upstream(`1@${startedAtMs}`, { instance: '1', startedAtMs, address: '10.0.0.1:1', ...over })
  list(0, 100, start(1000, { leaving: true }))
  t.deepEqual(list(1, 90, start(1000)), [])
  t.deepEqual(list(1, 91, start(2000)), ['1@2000'])
  t.deepEqual(list(2, 90, start(1000)), ['1@2000'], 'a copy that lists the earlier start')
})

test('a list that changes within an era can end the leaving of an upstream', (t) => {
  const { list } = createFleet()
  list(0, 100, upstream('1', { leaving: true }))
  t.deepEqual(list(0, 101, upstream('1')), ['1'])
})

test('an upstream that was leaving long before the restore is not remembered', async (t) => {
  const { clock, list } = createFleet()
  list(0, 100, upstream('1', { leaving: true }), upstream('2'))
  list(0, 101, upstream('2'))
  await clock.advance(60_001)
  t.deepEqual(list(1, 90, upstream('1'), upstream('2')), ['1', '2'])
})
