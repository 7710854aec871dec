import { Collection } from '@reelspan/core.messages'
import { type FakeBox, FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'

/** Values of a metric by label set, as the metrics endpoint of a box exposes them. */
function valuesOf ({ box }: FakeBox, name: string): Record<string, number> {
  const lines = box.metricsText().split('\n').filter((line) => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
  return Object.fromEntries(lines.map((line) => [line.slice(name.length, line.lastIndexOf(' ')), Number(line.slice(line.lastIndexOf(' ')))]))
}

function ageMs (box: FakeBox, state: string): number {
  return valuesOf(box, 'reelspan_belief_age_ms')[`{belief="${state}"}`]
}

test('the metrics contain the ages of the cached state of a box', async (t) => {
  const fleet = await new FakeFleet().start()
  const scheduler = fleet.schedulerBox()
  await fleet.clock.advance(20_000)
  fleet.platform.publish(Collection.Declarations, [])
  await fleet.clock.advance(2000)
  t.true(ageMs(scheduler, 'declarations') <= 2000)
  t.true(ageMs(scheduler, 'fleet') >= 20_000, 'nothing came since the start')
  t.true(ageMs(scheduler, 'engineReports') <= 2000)
  t.true(ageMs(scheduler, 'platformContact') <= 12_000)
  fleet.platform.outage = true
  fleet.killEngine([...fleet.engines.values()][0].name)
  await fleet.clock.advance(60_000)
  t.true(ageMs(scheduler, 'platformContact') >= 40_000)
  t.true(ageMs(scheduler, 'engineReports') >= 58_000, 'the oldest report counts')
  await fleet.stop()
})

test('a box without shards exposes no age of engine reports', async (t) => {
  const fleet = await new FakeFleet().start()
  const idle = fleet.boxes.filter(({ box }) => box.describe().shards.length === 0)
  t.true(idle.length > 0)
  t.true(idle.every((box) => ageMs(box, 'declarations') >= 0))
  t.deepEqual(idle.map((box) => ageMs(box, 'engineReports')), idle.map(() => undefined))
  await fleet.stop()
})

test('the metrics contain the remaining retry budget', async (t) => {
  const fleet = await new FakeFleet().start()
  t.true(valuesOf(fleet.box('box-1'), 'reelspan_retry_budget_left')['{requests="owned"}'] > 0)
  await fleet.stop()
})
