import { MemberHealth } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'

function healthOf (fleet: FakeFleet, name: string): (MemberHealth | undefined)[] {
  const { address } = fleet.box(name)
  return fleet.liveBoxes().filter((box) => box.name !== name).map(({ box }) => box.describe().members.findLast(({ peerAddress }) => peerAddress === address)?.health)
}

function renewals (fleet: FakeFleet): number {
  return fleet.boxes.reduce((sum, { log }) => sum + log.count(LogEvent.IncarnationRenewed), 0)
}

test('every box suspects an unresponsive box within three seconds', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.isolate('box-3')
  await fleet.clock.advance(3000)
  t.deepEqual(new Set(healthOf(fleet, 'box-3')), new Set([MemberHealth.Suspect]))
  await fleet.stop()
})

test('every box knows within three seconds that the process of another box has exited', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.kill('box-3')
  await fleet.clock.advance(3000)
  t.deepEqual(new Set(healthOf(fleet, 'box-3')), new Set([MemberHealth.Gone]))
  await fleet.stop()
})

test('a box that was paused for ten seconds keeps its incarnation', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.box('box-3').clock.pause()
  await fleet.clock.advance(10_000)
  t.deepEqual(new Set(healthOf(fleet, 'box-3')), new Set([MemberHealth.Suspect]))
  fleet.box('box-3').clock.resume()
  await fleet.clock.advance(8000)
  t.deepEqual(new Set(healthOf(fleet, 'box-3')), new Set([MemberHealth.Alive]))
  t.is(renewals(fleet), 0)
  await fleet.stop()
})

test('a network partition of minutes between availability zones renews no incarnation', async (t) => {
  const fleet = await new FakeFleet().start()
  const zoneA = fleet.boxes.filter(({ availabilityZone }) => availabilityZone === 'hall-a')
  const rest = fleet.boxes.filter(({ availabilityZone }) => availabilityZone !== 'hall-a')
  zoneA.forEach((a) => rest.forEach((b) => fleet.network.blockBoth(a.address, b.address)))
  await fleet.clock.advance(180_000)
  t.is(zoneA[0].box.describe().members.filter(({ health }) => health === MemberHealth.Alive).length, zoneA.length)
  fleet.network.healAll()
  await fleet.clock.advance(20_000)
  fleet.boxes.forEach(({ box }) => t.is(box.describe().members.filter(({ health }) => health === MemberHealth.Alive).length, 8))
  t.is(renewals(fleet), 0)
  await fleet.stop()
})

test('a one-way cut between two boxes is worked around by indirect probes', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.network.block(fleet.address('box-1'), fleet.address('box-2'))
  await fleet.clock.advance(10_000)
  t.deepEqual(new Set(healthOf(fleet, 'box-2')), new Set([MemberHealth.Alive]))
  await fleet.stop()
})

test('a box that only one other cannot reach is not suspected', async (t) => {
  const others = ['box-2', 'box-3', 'box-4', 'box-5', 'box-6', 'box-7', 'box-8']
  for (const name of others) {
    const fleet = await new FakeFleet().start()
    fleet.network.block(fleet.address('box-1'), fleet.address(name))
    await fleet.clock.advance(5000)
    const suspicions = fleet.boxes.flatMap(({ log }) => log.entries.filter(({ fields }) => fields?.health === MemberHealth.Suspect))
    t.deepEqual(suspicions, [])
    await fleet.stop()
  }
})

test('a box that learns of its replacement takes a new incarnation', async (t) => {
  const fleet = await new FakeFleet().start()
  const pausedBox = fleet.box('box-3')
  const before = pausedBox.box.self.incarnation
  pausedBox.clock.pause()
  await fleet.clock.advance(1000)
  await fleet.clock.run(fleet.startBox('box-3'))
  await fleet.clock.advance(3000)
  pausedBox.clock.resume()
  await fleet.clock.advance(5000)
  t.not(pausedBox.box.self.incarnation, before)
  t.true(pausedBox.log.count(LogEvent.IncarnationRenewed) > 0)
  await fleet.stop()
})
