import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { ResourceKind } from '@reelspan/config.resources'
import { Collection } from '@reelspan/core.messages'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import { LogEvent } from '@reelspan/telemetry.log'
import test from 'ava'
import { PROPAGATION_MS, HOST, SERVICES, startFleet } from './__utils__/crashingRequests.js'
import { arrivalsAt, load } from './__utils__/limitedUpstreams.js'

const OUTAGE_MS = 2000
const CONFIG_DEADLINE_MS = 2000
const DRAIN_MS = 2000
const ENTRY_LIFE_MS = 3600

function entryOf (fleet: FakeFleet, name: string, over: object = {}) {
  const zone = ['hall-a', 'hall-b', 'hall-c'][SERVICES.indexOf(name) % 3]
  return { kind: FleetEntryKind.Upstream, name, spec: { kind: UpstreamKind.Service, pool: 'script-desk', availabilityZone: zone, address: fleet.address(name), ...over } }
}

/** An operator's next version: another time-out of one route. */
function publishVersion (fleet: FakeFleet, deadlineMs: number): number {
  return fleet.platform.publish(Collection.Declarations, [
    { kind: ResourceKind.Route, name: 'status', spec: { host: HOST, pathPrefix: '/status/', targets: [{ pool: 'script-desk' }], maxAttempts: 2, deadlineMs, ttftTargetMs: 900 } },
  ])
}

/** Writes what the copy does not have, and takes it everywhere: desk-1 leaves, desk-2 is gone, a version of the declarations. */
async function writeAfterCopy (fleet: FakeFleet): Promise<number> {
  fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-1', { leaving: true })])
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name: 'desk-2', spec: null }])
  const version = publishVersion(fleet, 2400)
  await fleet.clock.advance(PROPAGATION_MS)
  return version
}

interface RestoreSteps {
  /** While the platform is away. */
  meanwhile?: (fleet: FakeFleet) => void
  /** Right after it has come back. */
  afterwards?: (fleet: FakeFleet) => Promise<void>
}

/** The platform is away for a moment and comes back from a copy that lacks what was written last. */
async function restoreFromCopy (fleet: FakeFleet, copy: ReturnType<FakeFleet['platform']['copy']>, { meanwhile, afterwards }: RestoreSteps = {}): Promise<void> {
  fleet.platform.outage = true
  meanwhile?.(fleet)
  await fleet.clock.advance(OUTAGE_MS)
  fleet.platform.restore(copy)
  fleet.platform.outage = false
  await afterwards?.(fleet)
}

function versions (fleet: FakeFleet): number[] {
  return [...new Set(fleet.liveBoxes().map(({ box }) => box.configuration.revision))]
}

const OTHER_FAULTS: Record<string, RestoreSteps> = {
  'nothing else': {},
  'half of the boxes cut off from the platform': {
    meanwhile: ({ boxes, platform }) => boxes.filter((_, i) => i % 2 === 0).forEach(({ address }) => platform.silentTo.add(address)),
  },
  'some boxes killed as it comes back, and started again': {
    afterwards: async (fleet) => {
      const names = ['box-1', 'box-2', 'box-3']
      names.forEach((name) => fleet.kill(name))
      await fleet.clock.run(Promise.all(names.map((name) => fleet.startBox(name))))
    },
  },
  'an availability zone cut off until after it': {
    meanwhile: (fleet) => fleet.cutOffZone('hall-b'),
    afterwards: async (fleet) => {
      await fleet.clock.advance(1000)
      fleet.network.healAll()
    },
  },
}

for (const [boxCount, fault] of [[2, 'nothing else'], [60, 'nothing else'], ...Object.keys(OTHER_FAULTS).map((name) => [8, name] as const)] as const) {
  test(`${boxCount} boxes go back to the platform's older copy, or miss what is written after it, with ${fault}`, async (t) => {
    const fleet = await startFleet({ boxCount })
    const copy = fleet.platform.copy()
    const version = await writeAfterCopy(fleet)
    t.deepEqual(versions(fleet), [version])
    await restoreFromCopy(fleet, copy, OTHER_FAULTS[fault])
    const restoredAtMs = fleet.clock.nowMs()
    const live = fleet.liveBoxes().map(({ name }) => name).filter((name) => !['box-1', 'box-2', 'box-3'].includes(name) || fault !== 'some boxes killed as it comes back, and started again')
    const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: ENTRY_LIFE_MS / 1000, boxes: live, name: 'copy' })
    t.deepEqual(arrivalsAt(fleet, 'desk-1', restoredAtMs), [], 'what had said that it leaves')
    t.deepEqual(arrivalsAt(fleet, 'desk-2', restoredAtMs), [], 'what was gone')
    t.deepEqual(versions(fleet), [version])
    t.true(outcomes.every(({ caller }) => caller.whole))

    fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-3', { leaving: true })])
    const next = publishVersion(fleet, 2300)
    await fleet.clock.advance(Math.max(CONFIG_DEADLINE_MS, DRAIN_MS))
    t.deepEqual(versions(fleet), [next])
    const boundMs = fleet.clock.nowMs()
    const later = await load(fleet, { target: '/status/', perSecond: 40, seconds: 2, name: 'next' })
    t.deepEqual(arrivalsAt(fleet, 'desk-3', boundMs), [])
    t.deepEqual(arrivalsAt(fleet, 'desk-1', boundMs), [])
    t.true(later.every(({ caller }) => caller.whole))
    await fleet.stop()
  })
}

test('two returns close together, to copies of different age, are taken for one', async (t) => {
  const fleet = await startFleet()
  const older = fleet.platform.copy()
  fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-4', { leaving: true })])
  await fleet.clock.advance(500)
  const newer = fleet.platform.copy()
  const version = await writeAfterCopy(fleet)
  await restoreFromCopy(fleet, newer)
  await fleet.clock.advance(700)
  await restoreFromCopy(fleet, older)
  const restoredAtMs = fleet.clock.nowMs()
  const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: 3 });
  ['desk-1', 'desk-2', 'desk-4'].forEach((name) => t.deepEqual(arrivalsAt(fleet, name, restoredAtMs), [], name))
  t.true(outcomes.every(({ caller }) => caller.whole))
  t.deepEqual(versions(fleet), [version])
  const next = publishVersion(fleet, 2300)
  await fleet.clock.advance(CONFIG_DEADLINE_MS)
  t.deepEqual(versions(fleet), [next])
  await fleet.stop()
})

test('boxes that are all killed as the platform comes back miss what is written after it', async (t) => {
  const fleet = await startFleet()
  const copy = fleet.platform.copy()
  await writeAfterCopy(fleet)
  const names = fleet.liveBoxes().map(({ name }) => name)
  await restoreFromCopy(fleet, copy, {
    afterwards: async () => {
      names.forEach((name) => fleet.kill(name))
      await fleet.clock.run(Promise.all(names.map((name) => fleet.startBox(name))))
    },
  })
  fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-1', { leaving: true })])
  const next = publishVersion(fleet, 2400)
  await fleet.clock.advance(CONFIG_DEADLINE_MS)
  t.deepEqual(versions(fleet), [next])
  const boundMs = fleet.clock.nowMs()
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 2 })
  t.deepEqual(arrivalsAt(fleet, 'desk-1', boundMs), [])
  await fleet.stop()
})

test('sixty boxes read everything from the platform at one moment when it is back', async (t) => {
  const fleet = await startFleet({ boxCount: 60 })
  const copy = fleet.platform.copy()
  await writeAfterCopy(fleet)
  await restoreFromCopy(fleet, copy)
  const callsBefore = fleet.platform.calls
  await fleet.clock.advance(1000)
  t.true(fleet.platform.calls - callsBefore < 60, `${fleet.platform.calls - callsBefore} calls in the first second`)
  t.true(fleet.liveBoxes().every(({ log }) => log.entries.some(({ event, fields }) => event === LogEvent.RevisionAdopted && fields?.collection === Collection.Fleet && fields.era === 1)))
  await fleet.stop()
})
