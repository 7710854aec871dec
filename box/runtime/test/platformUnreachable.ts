import { FleetEntryKind } from '@reelspan/config.fleet'
import { Collection, MemberHealth } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'

/** Settings of the production platform. */
const PLATFORM_SETTINGS = {
  platform: { watchWaitMs: 2000, longestBackoffMs: 700, watchersPerAvailabilityZone: 4, backstopPollMs: 40_000 },
  membership: { probePeriodMs: 700, probeTimeoutMs: 300 },
}
const SEEDS = [1, 2, 3, 4]
/** An upstream gets no new work later than this after its entry is removed. */
const REMOVAL_BOUND_MS = 2000
/** An outage of the platform has no effect later than this after its end. */
const STABLE_AFTER_MS = 3000

/** Two rounds of probes. */
const HEALED_WITHIN_MS = 1400

async function startFleet (seed: number, boxCount = 8): Promise<FakeFleet> {
  const fleet = await new FakeFleet({ seed, boxCount, settings: PLATFORM_SETTINGS }).start()
  // The seeds start the fault at different phases of the boxes' watches.
  await fleet.clock.advance(5000 + 530 * seed)
  return fleet
}

function blockPlatform (fleet: FakeFleet, addresses: readonly string[]): void {
  addresses.forEach((address) => fleet.platform.unresponsiveTo.add(address))
}

/** Removes an upstream's entry without a preceding draining state. */
function removeUpstream (fleet: FakeFleet, name: string): void {
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec: null }])
}

/** Names of the boxes at the given addresses that still list an upstream. */
function boxesListing (fleet: FakeFleet, name: string, addresses: readonly string[]): string[] {
  return fleet.boxes
    .filter(({ address }) => addresses.includes(address))
    .filter(({ box }) => box.listsUpstream(name))
    .map((box) => box.name)
}

test('boxes that cannot reach the platform drop a removed upstream as soon as their peers report it', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed)
    const cutOff = fleet.boxAddresses('hall-a')
    blockPlatform(fleet, cutOff)
    await fleet.clock.advance(4000)
    removeUpstream(fleet, 'desk-2')
    await fleet.clock.advance(REMOVAL_BOUND_MS)
    t.deepEqual(boxesListing(fleet, 'desk-2', cutOff), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('boxes that were cut off from everything drop an upstream that was removed meanwhile as soon as they learn of it', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed)
    const cutOff = fleet.boxAddresses('hall-a')
    blockPlatform(fleet, cutOff)
    fleet.isolateZone('hall-a')
    await fleet.clock.advance(4000)
    removeUpstream(fleet, 'desk-2')
    await fleet.clock.advance(9000)
    fleet.platform.unresponsiveTo.clear()
    fleet.network.healAll()
    await fleet.clock.advance(REMOVAL_BOUND_MS)
    t.deepEqual(boxesListing(fleet, 'desk-2', cutOff), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('an upstream that is removed soon after a platform outage is not kept as an expired entry', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed, 1)
    blockPlatform(fleet, fleet.allAddresses())
    await fleet.clock.advance(8000)
    fleet.platform.unresponsiveTo.clear()
    await fleet.clock.advance(STABLE_AFTER_MS)
    removeUpstream(fleet, 'desk-2')
    await fleet.clock.advance(REMOVAL_BOUND_MS)
    t.deepEqual(boxesListing(fleet, 'desk-2', fleet.allAddresses()), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('all boxes see isolated boxes as members again soon after the network has healed', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed)
    fleet.isolateZone('hall-a')
    await fleet.clock.advance(13_000)
    fleet.network.healAll()
    await fleet.clock.advance(HEALED_WITHIN_MS)
    const liveMembers = fleet.boxes.map(({ box }) => box.describe().members.filter(({ health }) => health === MemberHealth.Alive).length)
    t.deepEqual(liveMembers, fleet.boxes.map(() => fleet.boxes.length), `seed ${seed}`)
    await fleet.stop()
  }
})
