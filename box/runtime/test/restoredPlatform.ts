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
const ENTRY_TTL_MS = 3600

function entryOf (fleet: FakeFleet, name: string, over: object = {}) {
  const zone = ['hall-a', 'hall-b', 'hall-c'][SERVICES.indexOf(name) % 3]
  return { kind: FleetEntryKind.Upstream, name, spec: { kind: UpstreamKind.Service, pool: 'script-desk', availabilityZone: zone, address: fleet.address(name), ...over } }
}

/** Publishes the next version of the declarations, with another timeout of one route. */
function publishVersion (fleet: FakeFleet, deadlineMs: number): number {
  return fleet.platform.publish(Collection.Declarations, [
    { kind: ResourceKind.Route, name: 'status', spec: { host: HOST, pathPrefix: '/status/', targets: [{ pool: 'script-desk' }], maxAttempts: 2, deadlineMs, ttftTargetMs: 900 } },
  ])
}

/** Writes and propagates changes that the backup lacks: desk-1 is draining, desk-2 is removed, and a new version of the declarations. */
async function writeAfterBackup (fleet: FakeFleet): Promise<number> {
  fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-1', { leaving: true })])
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name: 'desk-2', spec: null }])
  const version = publishVersion(fleet, 2400)
  await fleet.clock.advance(PROPAGATION_MS)
  return version
}

interface RestoreSteps {
  /** Runs during the outage. */
  duringOutage?: (fleet: FakeFleet) => void
  /** Runs right after the restore. */
  afterRestore?: (fleet: FakeFleet) => Promise<void>
}

/** Restores the platform's store, after a short outage, from a backup that lacks the latest writes. */
async function restoreFromBackup (fleet: FakeFleet, backup: ReturnType<FakeFleet['platform']['backup']>, { duringOutage, afterRestore }: RestoreSteps = {}): Promise<void> {
  fleet.platform.outage = true
  duringOutage?.(fleet)
  await fleet.clock.advance(OUTAGE_MS)
  fleet.platform.restore(backup)
  fleet.platform.outage = false
  await afterRestore?.(fleet)
}

function versions (fleet: FakeFleet): number[] {
  return [...new Set(fleet.liveBoxes().map(({ box }) => box.configuration.revision))]
}

const OTHER_FAULTS: Record<string, RestoreSteps> = {
  'no other fault': {},
  'half of the boxes cut off from the platform': {
    duringOutage: ({ boxes, platform }) => boxes.filter((_, i) => i % 2 === 0).forEach(({ address }) => platform.unresponsiveTo.add(address)),
  },
  'some boxes restarted during the restore': {
    afterRestore: async (fleet) => {
      const names = ['box-1', 'box-2', 'box-3']
      names.forEach((name) => fleet.kill(name))
      await fleet.clock.run(Promise.all(names.map((name) => fleet.startBox(name))))
    },
  },
  'an availability zone cut off until after the restore': {
    duringOutage: (fleet) => fleet.isolateZone('hall-b'),
    afterRestore: async (fleet) => {
      await fleet.clock.advance(1000)
      fleet.network.healAll()
    },
  },
}

for (const [boxCount, fault] of [[2, 'no other fault'], [60, 'no other fault'], ...Object.keys(OTHER_FAULTS).map((name) => [8, name] as const)] as const) {
  test(`${boxCount} boxes keep newer state when the platform is restored from an older backup, and adopt later writes, with ${fault}`, async (t) => {
    const fleet = await startFleet({ boxCount })
    const backup = fleet.platform.backup()
    const version = await writeAfterBackup(fleet)
    t.deepEqual(versions(fleet), [version])
    await restoreFromBackup(fleet, backup, OTHER_FAULTS[fault])
    const restoredAtMs = fleet.clock.nowMs()
    const live = fleet.liveBoxes().map(({ name }) => name).filter((name) => !['box-1', 'box-2', 'box-3'].includes(name) || fault !== 'some boxes restarted during the restore')
    const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: ENTRY_TTL_MS / 1000, boxes: live, name: 'copy' })
    t.deepEqual(arrivalsAt(fleet, 'desk-1', restoredAtMs), [], 'draining before the restore')
    t.deepEqual(arrivalsAt(fleet, 'desk-2', restoredAtMs), [], 'removed before the restore')
    t.deepEqual(versions(fleet), [version])
    t.true(outcomes.every(({ caller }) => caller.complete))

    fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-3', { leaving: true })])
    const next = publishVersion(fleet, 2300)
    await fleet.clock.advance(Math.max(CONFIG_DEADLINE_MS, DRAIN_MS))
    t.deepEqual(versions(fleet), [next])
    const boundMs = fleet.clock.nowMs()
    const later = await load(fleet, { target: '/status/', perSecond: 40, seconds: 2, name: 'next' })
    t.deepEqual(arrivalsAt(fleet, 'desk-3', boundMs), [])
    t.deepEqual(arrivalsAt(fleet, 'desk-1', boundMs), [])
    t.true(later.every(({ caller }) => caller.complete))
    await fleet.stop()
  })
}

test('boxes keep newer state after two restores in short succession, from copies of different age', async (t) => {
  const fleet = await startFleet()
  const olderBackup = fleet.platform.backup()
  fleet.platform.publish(Collection.Fleet, [entryOf(fleet, 'desk-4', { leaving: true })])
  await fleet.clock.advance(500)
  const newerBackup = fleet.platform.backup()
  const version = await writeAfterBackup(fleet)
  await restoreFromBackup(fleet, newerBackup)
  await fleet.clock.advance(700)
  await restoreFromBackup(fleet, olderBackup)
  const restoredAtMs = fleet.clock.nowMs()
  const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: 3 });
  ['desk-1', 'desk-2', 'desk-4'].forEach((name) => t.deepEqual(arrivalsAt(fleet, name, restoredAtMs), [], name))
  t.true(outcomes.every(({ caller }) => caller.complete))
  t.deepEqual(versions(fleet), [version])
  const next = publishVersion(fleet, 2300)
  await fleet.clock.advance(CONFIG_DEADLINE_MS)
  t.deepEqual(versions(fleet), [next])
  await fleet.stop()
})

test('boxes that all restart during the restore adopt later writes', async (t) => {
  const fleet = await startFleet()
  const backup = fleet.platform.backup()
  await writeAfterBackup(fleet)
  const names = fleet.liveBoxes().map(({ name }) => name)
  await restoreFromBackup(fleet, backup, {
    afterRestore: async () => {
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

test('sixty boxes do not all read the platform at once after a restore', async (t) => {
  const fleet = await startFleet({ boxCount: 60 })
  const backup = fleet.platform.backup()
  await writeAfterBackup(fleet)
  await restoreFromBackup(fleet, backup)
  const callsBefore = fleet.platform.calls
  await fleet.clock.advance(1000)
  t.true(fleet.platform.calls - callsBefore < 60, `${fleet.platform.calls - callsBefore} calls in the first second`)
  t.true(fleet.liveBoxes().every(({ log }) => log.entries.some(({ event, fields }) => event === LogEvent.RevisionAdopted && fields?.collection === Collection.Fleet && fields.era === 1)))
  await fleet.stop()
})
