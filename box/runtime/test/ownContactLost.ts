import { FleetEntryKind } from '@reelspan/config.fleet'
import { Collection, MemberHealth } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'

/** As on the users' platform. */
const PLATFORM_SETTINGS = {
  platform: { watchWaitMs: 2000, longestBackoffMs: 700, watchersPerAvailabilityZone: 4, backstopPollMs: 40_000 },
  membership: { probePeriodMs: 700, probeTimeoutMs: 300 },
}
const SEEDS = [1, 2, 3, 4]
/** Upstreams whose entries go get no new work after this time. */
const REMOVAL_BOUND_MS = 2000
/** Within this time of its end, an absence of the platform counts no more. */
const STABLE_AFTER_MS = 3000

/** Two rounds of probes. */
const HEALED_WITHIN_MS = 1400

async function startFleet (seed: number, boxCount = 8): Promise<FakeFleet> {
  const fleet = await new FakeFleet({ seed, boxCount, settings: PLATFORM_SETTINGS }).start()
  // Where the boxes' watches stand when the fault begins differs from seed to seed.
  await fleet.clock.advance(5000 + 530 * seed)
  return fleet
}

function blockPlatform (fleet: FakeFleet, addresses: readonly string[]): void {
  addresses.forEach((address) => fleet.platform.silentTo.add(address))
}

/** The upstream's entry goes, without a word that it leaves. */
function removeUpstream (fleet: FakeFleet, name: string): void {
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec: null }])
}

/** Boxes at the given addresses that would still give the upstream work. */
function boxesListing (fleet: FakeFleet, name: string, addresses: readonly string[]): string[] {
  return fleet.boxes
    .filter(({ address }) => addresses.includes(address))
    .filter(({ box }) => box.listsUpstream(name))
    .map((box) => box.name)
}

test('boxes that the platform alone is silent to drop an upstream that vanishes, as soon as their peers tell', async (t) => {
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

test('boxes that were cut off from everything drop an upstream that vanished meanwhile, as soon as they hear of it', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed)
    const cutOff = fleet.boxAddresses('hall-a')
    blockPlatform(fleet, cutOff)
    fleet.cutOffZone('hall-a')
    await fleet.clock.advance(4000)
    removeUpstream(fleet, 'desk-2')
    await fleet.clock.advance(9000)
    fleet.platform.silentTo.clear()
    fleet.network.healAll()
    await fleet.clock.advance(REMOVAL_BOUND_MS)
    t.deepEqual(boxesListing(fleet, 'desk-2', cutOff), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('an upstream that vanishes soon after the platform is back is not taken for one whose entry lapsed', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed, 1)
    blockPlatform(fleet, fleet.everyAddress())
    await fleet.clock.advance(8000)
    fleet.platform.silentTo.clear()
    await fleet.clock.advance(STABLE_AFTER_MS)
    removeUpstream(fleet, 'desk-2')
    await fleet.clock.advance(REMOVAL_BOUND_MS)
    t.deepEqual(boxesListing(fleet, 'desk-2', fleet.everyAddress()), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('boxes that were cut off are members again for all soon after the cut has healed', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet(seed)
    fleet.cutOffZone('hall-a')
    await fleet.clock.advance(13_000)
    fleet.network.healAll()
    await fleet.clock.advance(HEALED_WITHIN_MS)
    const liveMembers = fleet.boxes.map(({ box }) => box.describe().members.filter(({ health }) => health === MemberHealth.Alive).length)
    t.deepEqual(liveMembers, fleet.boxes.map(() => fleet.boxes.length), `seed ${seed}`)
    await fleet.stop()
  }
})
