import { ResourceKind } from '@reelspan/config.resources'
import { Collection } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'

const SPREAD_MS = 2000

function publishTarget (fleet: FakeFleet, ttftTargetMs: number): number {
  return fleet.platform.publish(Collection.Declarations, [{ kind: ResourceKind.Route, name: 'drafts', spec: { model: 'draft', ttftTargetMs } }])
}

function targets (fleet: FakeFleet): (number | undefined)[] {
  return fleet.liveBoxes().map(({ box }) => box.configuration.route('drafts')?.ttftTargetMs)
}

test('a change is in force at every box within seconds', async (t) => {
  const fleet = await new FakeFleet().start()
  publishTarget(fleet, 500)
  await fleet.clock.advance(SPREAD_MS)
  t.deepEqual(targets(fleet), fleet.boxes.map(() => 500))
  await fleet.stop()
})

test('an invalid change is adopted by no box, and is reported in the state', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.platform.publish(Collection.Declarations, [
    { kind: ResourceKind.Route, name: 'drafts', spec: { model: 'draft', ttftTargetMs: 500 } },
    { kind: ResourceKind.Route, name: 'broken', spec: { model: 'draught' } },
  ])
  await fleet.clock.advance(SPREAD_MS)
  t.deepEqual(targets(fleet), fleet.boxes.map(() => 390))
  t.true(fleet.boxes.some(({ box }) => box.describe().declarations.rejected?.problems.some((problem) => problem.includes('did you mean «draft»'))))
  const corrected = fleet.platform.publish(Collection.Declarations, [{ kind: ResourceKind.Route, name: 'broken', spec: null }])
  await fleet.clock.advance(16_000)
  t.deepEqual(fleet.boxes.map(({ box }) => box.configuration.revision), fleet.boxes.map(() => corrected))
  await fleet.stop()
})

test('stale data from the platform does not revert a revision', async (t) => {
  const fleet = await new FakeFleet().start()
  publishTarget(fleet, 500)
  await fleet.clock.advance(SPREAD_MS)
  fleet.platform.staleMs = 60_000
  await fleet.clock.advance(40_000)
  t.deepEqual(targets(fleet), fleet.boxes.map(() => 500))
  await fleet.stop()
})

test('a box that starts while the platform is stale gets the revision in force from its peers', async (t) => {
  const fleet = await new FakeFleet().start()
  const revision = publishTarget(fleet, 500)
  await fleet.clock.advance(SPREAD_MS)
  fleet.platform.staleMs = SPREAD_MS + 500
  fleet.kill('box-2')
  await fleet.clock.run(fleet.startBox('box-2'))
  await fleet.clock.advance(500)
  t.is(fleet.box('box-2').box.configuration.revision, revision)
  await fleet.stop()
})

test('boxes that get stale data from the platform receive a change from their peers', async (t) => {
  const fleet = await new FakeFleet().start()
  // All readers but one get stale data, so only that one can forward the change.
  const revision = publishTarget(fleet, 500)
  fleet.platform.staleMs = 30_000
  fleet.platform.publish(Collection.Declarations, [])
  await fleet.clock.advance(100)
  t.true(fleet.boxes.some(({ box }) => box.configuration.revision < revision + 1))
  fleet.platform.staleMs = 0
  await fleet.clock.advance(16_000)
  t.deepEqual(fleet.boxes.map(({ box }) => box.configuration.revision), fleet.boxes.map(() => revision + 1))
  await fleet.stop()
})

test('a change published during an outage is in force within seconds after its end, with few reads per second', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.platform.outage = true
  publishTarget(fleet, 500)
  await fleet.clock.advance(3_600_000 / 60)
  t.deepEqual(targets(fleet), fleet.boxes.map(() => 390))
  const callsBefore = fleet.platform.calls
  fleet.platform.outage = false
  await fleet.clock.advance(16_000)
  t.deepEqual(targets(fleet), fleet.boxes.map(() => 500))
  const callsPerSecond = (fleet.platform.calls - callsBefore) / 16
  t.true(callsPerSecond < 2 * fleet.boxes.length, `${callsPerSecond} calls a second`)
  await fleet.stop()
})

test('the revision at a box never decreases while operators publish and the platform fails intermittently', async (t) => {
  const fleet = await new FakeFleet({ seed: 7 }).start()
  const seen = new Map(fleet.boxes.map(({ name }) => [name, 0]))
  for (let step = 0; step < 40; step++) {
    if (step % 3 === 0) publishTarget(fleet, 400 + step)
    fleet.platform.outage = fleet.random.nextFloat() < 0.3
    fleet.platform.staleMs = fleet.random.nextFloat() < 0.3 ? 5000 : 0
    await fleet.clock.advance(500)
    fleet.boxes.forEach(({ name, box }) => {
      t.true(box.configuration.revision >= (seen.get(name) as number))
      seen.set(name, box.configuration.revision)
    })
  }
  await fleet.stop()
})
