import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { ErrorCode, Verdict } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'
import { PROPAGATION_MS, HOST, SERVICES, startFleet } from './__utils__/crashingRequests.js'
import { arrivalsAt, peakUsageAt, load, advertiseLimits, type Outcome } from './__utils__/limitedUpstreams.js'

/** Minimum share of an advertised limit that is used while the load exceeds it. */
const MIN_USED_SHARE = 0.9
/** A request that no upstream may take is refused within this time, which allows for a few calls between boxes. */
const REFUSAL_BOUND_MS = 100

/** The same limit for every service. */
const limitAllDesks = (perSecond: number) => Object.fromEntries(SERVICES.map((name) => [name, perSecond]))

/** Requests that an upstream got in the seconds after all boxes must know its limit, as a share of what the limit allows. */
function usedShareAt (fleet: FakeFleet, upstream: string, perSecond: number, { advertisedAtMs, seconds }: { advertisedAtMs: number, seconds: number }): number {
  const fromMs = advertisedAtMs + PROPAGATION_MS
  const arrivals = arrivalsAt(fleet, upstream, fromMs).filter(({ atMs }) => atMs < fromMs + seconds * 1000)
  return arrivals.length / (perSecond * seconds)
}

function refusedOutcomes (outcomes: readonly Outcome[]): Outcome[] {
  return outcomes.filter(({ caller }) => caller.refused !== undefined)
}

/** Checks that each request was refused immediately, as not run and with a retry delay. */
function checkRefusals (t: ExecutionContext, fleet: FakeFleet, refusals: readonly Outcome[]): void {
  t.deepEqual([...new Set(refusals.map(({ caller }) => caller.refused?.code))], [ErrorCode.UpstreamLimit])
  t.deepEqual([...new Set(refusals.map(({ caller }) => caller.refused?.verdict))], [Verdict.NotRun])
  refusals.forEach(({ caller }) => t.true((caller.refused?.retryAfterMs ?? 0) > 0))
  t.true(Math.max(...refusals.map(({ heldMs }) => heldMs)) <= REFUSAL_BOUND_MS)
  t.true(fleet.relayedUpstreams.arrivals.length > 0)
}

for (const boxCount of [2, 8, 195]) {
  test(`${boxCount} boxes use the limits that all upstreams advertise, and refuse excess requests immediately`, async (t) => {
    const fleet = await startFleet({ boxCount })
    const advertisedAtMs = fleet.clock.nowMs()
    const perSecond = 4
    advertiseLimits(fleet, limitAllDesks(perSecond))
    await load(fleet, { target: '/status/', perSecond: 40, seconds: PROPAGATION_MS / 1000, name: 'first' })
    const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: 12 })
    const seen = SERVICES.map((upstream) => ({ upstream, peak: peakUsageAt(fleet, upstream, { perSecond, advertisedAtMs }), taken: usedShareAt(fleet, upstream, perSecond, { advertisedAtMs, seconds: 12 }) }))
    t.log(seen)
    seen.forEach(({ peak, taken }) => {
      t.true(peak <= 1)
      t.true(taken >= MIN_USED_SHARE)
    })
    checkRefusals(t, fleet, refusedOutcomes(outcomes))
    await fleet.stop()
  })
}

test('callers are not refused while another upstream has capacity', async (t) => {
  const fleet = await startFleet()
  advertiseLimits(fleet, { 'desk-1': 3, 'desk-2': 3, 'desk-3': 0.5, 'desk-4': 0 })
  const outcomes = await load(fleet, { target: '/once/', perSecond: 30, seconds: 10 })
  t.deepEqual(refusedOutcomes(outcomes), [])
  await fleet.stop()
})

test('streams use the limits that all their engines advertise, and excess streams are refused as not run', async (t) => {
  const fleet = await startFleet()
  const advertisedAtMs = fleet.clock.nowMs()
  const engines = ['prefill-1', 'prefill-2', 'prefill-3', 'prefill-4']
  const perSecond = 1.5
  advertiseLimits(fleet, Object.fromEntries(engines.map((name) => [name, perSecond])))
  await load(fleet, { target: '/draft/', perSecond: 20, seconds: PROPAGATION_MS / 1000, name: 'first' })
  const outcomes = await load(fleet, { target: '/draft/', perSecond: 20, seconds: 36 })
  const seen = engines.map((upstream) => ({ upstream, peak: peakUsageAt(fleet, upstream, { perSecond, advertisedAtMs }), taken: usedShareAt(fleet, upstream, perSecond, { advertisedAtMs, seconds: 36 }) }))
  t.log(seen, refusedOutcomes(outcomes).length)
  seen.forEach(({ peak, taken }) => {
    t.true(peak <= 1)
    t.true(taken >= MIN_USED_SHARE)
  })
  const ran = new Set(fleet.relayedUpstreams.arrivals.map(({ id }) => id))
  refusedOutcomes(outcomes).forEach(({ caller }) => t.is(caller.refused?.verdict, Verdict.NotRun))
  t.is(outcomes.filter((_, i) => ran.has(`load-${i}`)).length, outcomes.length - refusedOutcomes(outcomes).length)
  await fleet.stop()
})

test('a lowered, raised or removed limit takes effect as advertised', async (t) => {
  const fleet = await startFleet()
  const runWithLimits = async (limits: Record<string, number>, name: string) => {
    const advertisedAtMs = fleet.clock.nowMs()
    advertiseLimits(fleet, limits)
    await load(fleet, { target: '/status/', perSecond: 60, seconds: 12, name })
    return { advertisedAtMs, seconds: 9 }
  }
  const first = await runWithLimits(limitAllDesks(6), 'first')
  t.true(usedShareAt(fleet, 'desk-1', 6, first) >= MIN_USED_SHARE)
  t.true(peakUsageAt(fleet, 'desk-1', { perSecond: 6, advertisedAtMs: first.advertisedAtMs }) <= 1)
  const lowered = await runWithLimits({ ...limitAllDesks(6), 'desk-1': 0.5 }, 'fallen')
  t.true(peakUsageAt(fleet, 'desk-1', { perSecond: 0.5, advertisedAtMs: lowered.advertisedAtMs }) <= 1)
  t.true(usedShareAt(fleet, 'desk-1', 0.5, lowered) >= 0.7)
  const raised = await runWithLimits({ ...limitAllDesks(6), 'desk-1': 5 }, 'risen')
  t.true(usedShareAt(fleet, 'desk-1', 5, raised) >= MIN_USED_SHARE)
  const removed = await runWithLimits({ ...limitAllDesks(6), 'desk-1': undefined as unknown as number }, 'gone')
  t.true(usedShareAt(fleet, 'desk-1', 20, removed) >= MIN_USED_SHARE)
  await fleet.stop()
})

test('a limit that a held-up box reads late does not replace the one that other boxes observed since', async (t) => {
  const fleet = await startFleet()
  const { clock, relayedUpstreams } = fleet
  const knownLimits = () => fleet.boxes.map(({ box }) => box.describe().upstreamStates.find(({ upstream }) => upstream === 'desk-1')?.perSecond)
  const [heldUp, ...others] = fleet.boxes
  advertiseLimits(fleet, { 'desk-1': 50 })
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 3, name: 'first' })
  t.deepEqual([...new Set(knownLimits())], [50])
  const { signalsOf } = relayedUpstreams
  relayedUpstreams.signalsOf = (upstream, from) => {
    if (upstream === 'desk-1' && from === heldUp.address) heldUp.clock.pause()
    return signalsOf(upstream, from)
  }
  const unread = load(fleet, { target: '/status/', perSecond: 40, seconds: 1, name: 'unread', boxes: [heldUp.name] })
  while (!heldUp.clock.paused) await clock.advance(10)
  advertiseLimits(fleet, { 'desk-1': 2 })
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 2.5, name: 'lowered', boxes: others.map(({ name }) => name) })
  heldUp.clock.resume()
  await clock.run(unread)
  await clock.advance(2000)
  t.deepEqual([...new Set(knownLimits())], [2])
  await fleet.stop()
})

test('an upstream with a limit of zero gets occasional requests, and is used again when the limit is removed', async (t) => {
  const fleet = await startFleet()
  const advertisedAtMs = fleet.clock.nowMs()
  advertiseLimits(fleet, { 'desk-1': 0 })
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 25 })
  const tries = arrivalsAt(fleet, 'desk-1', advertisedAtMs + PROPAGATION_MS).length
  t.true(tries >= 1 && tries <= 3, `${tries}`)
  const endedAtMs = fleet.clock.nowMs()
  advertiseLimits(fleet, {})
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 25, name: 'ended' })
  t.true(arrivalsAt(fleet, 'desk-1', endedAtMs).length > 20)
  await fleet.stop()
})

test('an unreadable limit is ignored', async (t) => {
  const fleet = await startFleet()
  const advertisedAtMs = fleet.clock.nowMs()
  fleet.relayedUpstreams.signalsOf = (upstream) => upstream === 'desk-1' ? { rateLimit: { text: 'few' } } : {}
  const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: 8 })
  t.deepEqual(refusedOutcomes(outcomes), [])
  t.true(usedShareAt(fleet, 'desk-1', 5, { advertisedAtMs, seconds: 5 }) >= MIN_USED_SHARE)
  await fleet.stop()
})

test('a restarted upstream does not inherit the limit of its previous start', async (t) => {
  const fleet = await startFleet()
  advertiseLimits(fleet, { 'desk-1': 0.5 })
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 6 })
  const spec = { kind: UpstreamKind.Service, pool: 'script-desk', availabilityZone: 'hall-a', address: fleet.address('desk-1') }
  fleet.platform.publish(Collection.Fleet, [
    { kind: FleetEntryKind.Upstream, name: 'desk-1', spec: null },
    { kind: FleetEntryKind.Upstream, name: 'desk-1@2', spec },
  ])
  await fleet.clock.advance(PROPAGATION_MS)
  const startedAtMs = fleet.clock.nowMs()
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 5, name: 'again' })
  t.true(arrivalsAt(fleet, 'desk-1@2', startedAtMs).length / 5 > 4)
  await fleet.stop()
})

test('retries count against limits, and a failed response is passed on if no retry is permitted', async (t) => {
  const fleet = await startFleet()
  const run = fleet.relayedUpstreams.run.bind(fleet.relayedUpstreams)
  fleet.relayedUpstreams.run = (target, request, opts) => ({ ...run(target, request, opts), ...target.instance === 'desk-1' ? { status: 500 } : {} })
  const advertisedAtMs = fleet.clock.nowMs()
  const others = SERVICES.filter((name) => name !== 'desk-1')
  advertiseLimits(fleet, Object.fromEntries(others.map((name) => [name, 2])))
  const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: 12 })
  others.forEach((upstream) => t.true(peakUsageAt(fleet, upstream, { perSecond: 2, advertisedAtMs }) <= 1, upstream))
  t.deepEqual(refusedOutcomes(outcomes), [])
  t.deepEqual([...new Set(outcomes.map(({ caller }) => caller.status))].sort(), [200, 500])
  await fleet.stop()
})

test('resumed streams count against limits', async (t) => {
  const fleet = await startFleet()
  const engines = fleet.allEngines().map(({ name }) => name).filter((name) => name.startsWith('decode'))
  const advertisedAtMs = fleet.clock.nowMs()
  advertiseLimits(fleet, Object.fromEntries(engines.map((name) => [name, 1])))
  const crashes = (async () => {
    for (const engine of engines.slice(0, 6)) {
      await fleet.clock.sleep(1500)
      void fleet.crash(engine)
    }
  })()
  await load(fleet, { target: '/reply/', perSecond: 15, seconds: 12 })
  await crashes
  const resumed = fleet.relayedUpstreams.arrivals.filter(({ id, prefill }, i, all) => !prefill && all.some((one, j) => j < i && one.id === id && !one.prefill))
  t.true(resumed.length > 0)
  engines.forEach((upstream) => t.true(peakUsageAt(fleet, upstream, { perSecond: 1, advertisedAtMs }) <= 1, upstream))
  await fleet.stop()
})

/** Names of the boxes that know an advertised limit of an upstream. */
function boxesWithLimit (fleet: FakeFleet, upstream: string): string[] {
  return fleet.liveBoxes().filter(({ box }) => box.describe().upstreamStates.some((state) => state.upstream === upstream && state.perSecond !== undefined)).map(({ name }) => name)
}

for (const boxCount of [8, 195]) {
  test(`all of ${boxCount} boxes know within 300 ms a limit that was advertised to one of them`, async (t) => {
    const fleet = await startFleet({ boxCount })
    advertiseLimits(fleet, limitAllDesks(3))
    void fleet.relay('box-1', { id: 'first', host: HOST, target: '/once/first', prompt: undefined })
    await fleet.clock.advance(300)
    const [{ upstream }] = fleet.relayedUpstreams.arrivals
    t.is(boxesWithLimit(fleet, upstream).length, boxCount)
    await fleet.stop()
  })
}

test('boxes that were isolated or have restarted learn of limits soon after they reach another box', async (t) => {
  const fleet = await startFleet()
  const inside = fleet.boxes.filter(({ availabilityZone }) => availabilityZone === 'hall-a').map(({ name }) => name)
  fleet.isolateZone('hall-a')
  advertiseLimits(fleet, { 'desk-2': 3 })
  const outside = fleet.boxes.map(({ name }) => name).filter((name) => !inside.includes(name))
  await load(fleet, { target: '/status/', perSecond: 30, seconds: 2, boxes: outside })
  t.deepEqual(boxesWithLimit(fleet, 'desk-2'), outside)
  fleet.network.healAll()
  await fleet.clock.advance(PROPAGATION_MS)
  t.is(boxesWithLimit(fleet, 'desk-2').length, fleet.boxes.length)
  fleet.kill('box-2')
  await fleet.clock.advance(500)
  await fleet.clock.run(fleet.startBox('box-2'))
  await fleet.clock.advance(1000)
  t.true(boxesWithLimit(fleet, 'desk-2').includes('box-2'))
  await fleet.stop()
})

/** Names of the current coordinators of the upstreams' permits. */
function coordinatorsOf (fleet: FakeFleet, limits: Readonly<Record<string, number>>): string[] {
  return Object.keys(limits).flatMap((upstream) => fleet.liveBoxes().filter(({ box }) => box.coordinatesPermitsOf(upstream)).map(({ name }) => name))
}

enum Fault {
  KillCoordinator = 'the coordinator is killed',
  RestartCoordinator = 'the coordinator restarts without its state',
  FreezeCoordinator = 'the coordinator is suspended for two seconds',
  CutCoordinator = 'the coordinator is isolated',
  CutZone = 'a zone is isolated',
  RestartAll = 'all boxes restart one after the other',
}

async function injectFault (fleet: FakeFleet, fault: Fault, coordinator: string): Promise<string[]> {
  const { clock } = fleet
  switch (fault) {
    case Fault.KillCoordinator:
      fleet.kill(coordinator)
      return [coordinator]
    case Fault.RestartCoordinator:
      fleet.kill(coordinator)
      await clock.sleep(400)
      await fleet.startBox(coordinator)
      return [coordinator]
    case Fault.FreezeCoordinator:
      fleet.box(coordinator).clock.pause()
      await clock.sleep(2000)
      fleet.box(coordinator).clock.resume()
      return [coordinator]
    case Fault.CutCoordinator:
      fleet.isolate(coordinator)
      await clock.sleep(4000)
      fleet.network.healAll()
      return [coordinator]
    case Fault.CutZone: {
      const inside = fleet.boxes.filter(({ availabilityZone }) => availabilityZone === 'hall-a').map(({ name }) => name)
      fleet.isolateZone('hall-a')
      await clock.sleep(4000)
      fleet.network.healAll()
      return inside
    }
    case Fault.RestartAll: {
      const names = fleet.liveBoxes().map(({ name }) => name)
      for (const name of names) {
        fleet.kill(name)
        await clock.sleep(300)
        await fleet.startBox(name)
        await clock.sleep(900)
      }
      return names
    }
  }
}

for (const fault of Object.values(Fault)) {
  for (const seed of [1, 2, 3]) {
    test(`limits hold and are used while ${fault} (seed ${seed})`, async (t) => {
      const fleet = await startFleet({ seed })
      const advertisedAtMs = fleet.clock.nowMs()
      const perSecond = 5
      const limits = limitAllDesks(perSecond)
      advertiseLimits(fleet, limits)
      await load(fleet, { target: '/status/', perSecond: 50, seconds: 5, name: 'before' })
      const [coordinator] = coordinatorsOf(fleet, limits)
      const affectedBoxes = injectFault(fleet, fault, coordinator)
      await load(fleet, { target: '/status/', perSecond: 50, seconds: 12, name: 'during' })
      const excludedAddresses = (await fleet.clock.run(affectedBoxes)).map((name) => fleet.address(name))
      const all = SERVICES.map((upstream) => peakUsageAt(fleet, upstream, { perSecond, advertisedAtMs }))
      const counted = SERVICES.map((upstream) => peakUsageAt(fleet, upstream, { perSecond, advertisedAtMs, excludedAddresses }))
      const taken = SERVICES.map((upstream) => usedShareAt(fleet, upstream, perSecond, { advertisedAtMs, seconds: 14 }))
      t.log({ coordinator, all, counted, taken })
      counted.forEach((peak) => t.true(peak <= 1))
      taken.forEach((share) => t.true(share >= MIN_USED_SHARE - 0.25))
      await fleet.stop()
    })
  }
}
