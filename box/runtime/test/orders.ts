import { ResourceKind, RolloutState } from '@reelspan/config.resources'
import { Verdict } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor } from '@reelspan/utils.fakes'
import test from 'ava'

function declareRollout (fleet: FakeFleet, over: object = {}): void {
  const spec = { model: 'draft', toVersion: '2', enginePercent: 100, ...over }
  fleet.platform.publish(Collection.Declarations, [{ kind: ResourceKind.Rollout, name: 'next', spec }])
}

function versions (fleet: FakeFleet): string[] {
  return [...fleet.engines.values()].map(({ loaded }) => loaded[0].version)
}

function countOf (fleet: FakeFleet, version: string): number {
  return versions(fleet).filter((one) => one === version).length
}

test('a rollout reaches every engine, keeps the declared number in service and interrupts nothing', async (t) => {
  const fleet = await new FakeFleet().start()
  await fleet.clock.advance(6000)
  declareRollout(fleet)
  const answers = []
  let leastServing = Number.POSITIVE_INFINITY
  for (let step = 0; step < 120; step++) {
    if (step % 4 === 0) answers.push(fleet.send('box-1', fleet.completion('box-1', promptFor(`r${step}`, { answerTokens: 10 }))))
    await fleet.clock.advance(500)
    leastServing = Math.min(leastServing, [...fleet.engines.values()].filter((engine) => engine.name.startsWith('decode') && !engine.report().changing).length)
  }
  t.deepEqual(versions(fleet), versions(fleet).map(() => '2'))
  t.true(leastServing >= 3, `${leastServing} decode engines in service`)
  const outcomes = await fleet.clock.run(Promise.all(answers))
  t.deepEqual(outcomes.filter(({ verdict }) => verdict === Verdict.MayHaveRun), [])
  t.true(outcomes.filter(({ verdict }) => verdict === Verdict.Finished).length > outcomes.length * 0.8)
  await fleet.stop()
})

test('a paused rollout sends no more orders, and a rollback restores the version of the model', async (t) => {
  const fleet = await new FakeFleet().start()
  await fleet.clock.advance(6000)
  declareRollout(fleet)
  await fleet.clock.advance(8000)
  declareRollout(fleet, { state: RolloutState.Paused })
  await fleet.clock.advance(4000)
  const reached = countOf(fleet, '2')
  t.true(reached > 0 && reached < 8, `${reached} engines`)
  await fleet.clock.advance(10_000)
  t.is(countOf(fleet, '2'), reached)
  declareRollout(fleet, { state: RolloutState.Back })
  await fleet.clock.advance(60_000)
  t.is(countOf(fleet, '1'), 8)
  await fleet.stop()
})

test('a partial rollout stops at the declared percentage of the engines', async (t) => {
  const fleet = await new FakeFleet().start()
  await fleet.clock.advance(6000)
  declareRollout(fleet, { enginePercent: 40 })
  await fleet.clock.advance(60_000)
  t.is(countOf(fleet, '2'), 4, '2 of 3 prefill engines and 2 of 5 decode engines')
  await fleet.stop()
})

test('a rollout continues under another scheduler when the first one dies', async (t) => {
  const fleet = await new FakeFleet().start()
  await fleet.clock.advance(6000)
  declareRollout(fleet)
  await fleet.clock.advance(8000)
  fleet.kill(fleet.schedulerBox().name)
  await fleet.clock.advance(70_000)
  t.is(countOf(fleet, '2'), 8)
  await fleet.stop()
})

test('no engine gets the same order from two successive schedulers', async (t) => {
  const fleet = await new FakeFleet().start()
  await fleet.clock.advance(6000)
  declareRollout(fleet)
  await fleet.clock.advance(5000)
  fleet.schedulerBox().clock.pause()
  await fleet.clock.advance(60_000)
  fleet.boxes.forEach(({ clock }) => clock.resume())
  await fleet.clock.advance(20_000)
  t.is(countOf(fleet, '2'), 8)
  t.deepEqual([...fleet.engines.values()].map(({ orders }) => orders.length), versions(fleet).map(() => 1))
  await fleet.stop()
})

test('engines that ignore fencing tokens get no order from a scheduler that was paused during its replacement', async (t) => {
  const fleet = await new FakeFleet({ engine: { checksFence: false } }).start()
  await fleet.clock.advance(6000)
  const first = fleet.schedulerBox()
  first.clock.pause()
  declareRollout(fleet, { enginePercent: 0, toVersion: '2' })
  await fleet.clock.advance(20_000)
  declareRollout(fleet)
  await fleet.clock.advance(60_000)
  const ordersBefore = [...fleet.engines.values()].map(({ orders }) => orders.length)
  first.clock.resume()
  await fleet.clock.advance(20_000)
  t.is(countOf(fleet, '2'), 8)
  t.deepEqual([...fleet.engines.values()].map(({ orders }) => orders.length), ordersBefore)
  await fleet.stop()
})

/** The shards whose engines each box may order now. */
function ordering (fleet: FakeFleet): { name: string, shard: string }[] {
  return fleet.liveBoxes().flatMap(({ name, box }) => box.describe().shards.filter(({ mayOrder }) => mayOrder).map(({ shard }) => ({ name, shard })))
}

// Guards against orders from two sides of a cut, since boxes that are cut off together have contact with most of those that they still trust.
for (const withScheduler of [false, true]) {
  test(`boxes that are cut off together do not get the right to order, ${withScheduler ? 'with' : 'without'} the scheduler among them`, async (t) => {
    const fleet = await new FakeFleet({ boxCount: 6, engine: { checksFence: false } }).start()
    await fleet.clock.advance(8000)
    const scheduler = fleet.schedulerBox()
    const others = fleet.boxes.filter((box) => box !== scheduler)
    const inside = withScheduler ? [scheduler, others[0]] : others.slice(0, 2)
    const outside = fleet.boxes.filter((box) => !inside.includes(box))
    inside.forEach((a) => outside.forEach((b) => fleet.network.blockBoth(a.address, b.address)))
    inside.forEach(({ address }) => fleet.platform.unresponsiveTo.add(address))
    const shared: string[] = []
    const observe = async (durationMs: number) => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
        await fleet.clock.advance(100)
        const holders = ordering(fleet)
        shared.push(...holders.filter(({ shard }, i) => holders.findIndex((other) => other.shard === shard) !== i).map(({ shard }) => shard))
      }
    }
    await observe(12_000)
    t.true(ordering(fleet).some(({ name }) => outside.some((box) => box.name === name)), 'the larger side goes on')
    fleet.network.healAll()
    fleet.platform.unresponsiveTo.clear()
    await observe(12_000)
    t.deepEqual([...new Set(shared)], [])
    t.true(ordering(fleet).length > 0)
    await fleet.stop()
  })
}
