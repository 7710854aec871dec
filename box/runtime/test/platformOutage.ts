import { FleetEntryKind } from '@reelspan/config.fleet'
import { Collection } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'

/** Settings of the production platform. */
const PLATFORM_SETTINGS = {
  platform: { watchWaitMs: 2000, longestBackoffMs: 700, watchersPerAvailabilityZone: 4, backstopPollMs: 40_000 },
  membership: { probePeriodMs: 700, probeTimeoutMs: 300 },
}
const SEEDS = [1, 2, 3, 4]
/** Not all live upstreams have registered again by then. */
const SOON_AFTER_MS = 1500

/** Checks that all boxes keep an upstream whose entry expired while the platform answered no box. */
async function checkExpiredIsKept (t: ExecutionContext, outageMs: number): Promise<void> {
  for (const seed of SEEDS) {
    const fleet = await new FakeFleet({ seed, settings: PLATFORM_SETTINGS }).start()
    await fleet.clock.advance(5000 + 530 * seed)
    fleet.allAddresses().forEach((address) => fleet.platform.unresponsiveTo.add(address))
    await fleet.clock.advance(outageMs)
    fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name: 'desk-2', spec: null }])
    fleet.platform.unresponsiveTo.clear()
    await fleet.clock.advance(SOON_AFTER_MS)
    const boxesWithoutUpstream = fleet.boxes.filter(({ box }) => !box.listsUpstream('desk-2')).map(({ name }) => name)
    t.deepEqual(boxesWithoutUpstream, [], `seed ${seed}`)
    await fleet.stop()
  }
}

test('entries that expired during a long platform outage are kept until upstreams can have registered again', async (t) => {
  await checkExpiredIsKept(t, 7000)
})

test('entries that expired during an outage slightly longer than their TTL are kept until upstreams can have registered again', async (t) => {
  await checkExpiredIsKept(t, 4500)
})
