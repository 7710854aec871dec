import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { Verdict } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'
import { PROPAGATION_MS, DECODE_ENGINES, PREFILL_ENGINES, SERVICES, startFleet } from './__utils__/crashingRequests.js'
import { arrivalsAt, load } from './__utils__/limitedUpstreams.js'
import { REFUSAL_BOUND_MS, arrivalsAfterDrain, drain } from './__utils__/signallingUpstreams.js'

const DRAINING = ['desk-1', 'prefill-1', 'decode-1', 'decode-2']

function listAgain (fleet: FakeFleet, name: string): void {
  const spec = { kind: UpstreamKind.Service, pool: 'script-desk', availabilityZone: 'hall-a', address: fleet.address('desk-1') }
  fleet.platform.publish(Collection.Fleet, [
    { kind: FleetEntryKind.Upstream, name: 'desk-1', spec: null },
    { kind: FleetEntryKind.Upstream, name, spec },
  ])
}

// Guards against boxes that forward a draining signal to the caller but keep sending work to the upstream.
test('no calls, prompts or streams reach upstreams that advertised draining in a response', async (t) => {
  const fleet = await startFleet()
  const advertised = drain(fleet, DRAINING)
  const callers = await Promise.all([load(fleet, { target: '/status/', perSecond: 40, seconds: 7 }), load(fleet, { target: '/draft/', perSecond: 15, seconds: 7, name: 'draft' })])
  const late = arrivalsAfterDrain(fleet, advertised)
  t.log(Object.fromEntries(DRAINING.map((name) => [name, late.filter(({ upstream }) => upstream === name).length])), advertised.count)
  t.true(advertised.count > 0)
  t.deepEqual(late, [])
  t.true(callers.flat().length > 0)
  await fleet.stop()
})

for (const boxCount of [2, 8, 60]) {
  test(`${boxCount} boxes send nothing to an upstream that advertised draining to one of them, and refuse no caller`, async (t) => {
    const fleet = await startFleet({ boxCount })
    const advertised = drain(fleet, ['desk-1'])
    while (advertised.count === 0) await load(fleet, { target: '/status/', perSecond: 40, seconds: 0.5, name: `first-${fleet.clock.nowMs()}` })
    await fleet.clock.advance(PROPAGATION_MS)
    const propagatedAtMs = fleet.clock.nowMs()
    const outcomes = await load(fleet, { target: '/status/', perSecond: 40, seconds: 8 })
    t.deepEqual(arrivalsAt(fleet, 'desk-1', propagatedAtMs), [])
    t.true(outcomes.every(({ caller }) => caller.complete))
    await fleet.stop()
  })
}

test('a box that restarted or was isolated learns of a draining upstream from the others', async (t) => {
  const fleet = await startFleet()
  fleet.isolate('box-2')
  drain(fleet, ['desk-1'])
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 3, boxes: ['box-1'], name: 'first' })
  fleet.network.healAll()
  fleet.kill('box-3')
  await fleet.clock.run(fleet.startBox('box-3'))
  await fleet.clock.advance(PROPAGATION_MS)
  const propagatedAtMs = fleet.clock.nowMs()
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 5, boxes: ['box-2', 'box-3'] })
  t.deepEqual(arrivalsAt(fleet, 'desk-1', propagatedAtMs), [])
  await fleet.stop()
})

test('streams that run on an engine when it starts draining may finish', async (t) => {
  const fleet = await startFleet()
  const running = load(fleet, { target: '/draft/', perSecond: 15, seconds: 1, name: 'before' })
  drain(fleet, DECODE_ENGINES.slice(1))
  const outcomes = await running
  t.true(outcomes.every(({ caller }) => caller.complete), JSON.stringify(outcomes.map(({ caller }) => caller.refused)))
  await fleet.stop()
})

for (const [target, upstreams] of [['/status/', SERVICES], ['/draft/', [...PREFILL_ENGINES, ...DECODE_ENGINES]]] as const) {
  test(`requests to ${target} are refused immediately, as not run and with a retry delay, if all upstreams are draining`, async (t) => {
    const fleet = await startFleet()
    drain(fleet, upstreams)
    await load(fleet, { target, perSecond: 60, seconds: 8, name: 'first' })
    const arrivals = fleet.relayedUpstreams.arrivals.length
    const outcomes = await load(fleet, { target, perSecond: 20, seconds: 2 })
    t.is(fleet.relayedUpstreams.arrivals.length, arrivals)
    outcomes.forEach(({ caller: { refused }, heldMs }) => {
      t.is(refused?.verdict, Verdict.NotRun)
      t.true((refused?.retryAfterMs ?? 0) > 0)
      t.true(heldMs <= REFUSAL_BOUND_MS, `${heldMs}`)
    })
    await fleet.stop()
  })
}

test('a draining upstream gets nothing while the fleet list still shows it as ready, and gets work after its next start', async (t) => {
  const fleet = await startFleet()
  const advertised = drain(fleet, ['desk-1'])
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 4, name: 'first' })
  listAgain(fleet, 'desk-1')
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 13, name: 'listed' })
  t.deepEqual(arrivalsAfterDrain(fleet, advertised), [])
  listAgain(fleet, 'desk-1@2')
  await fleet.clock.advance(PROPAGATION_MS)
  await load(fleet, { target: '/status/', perSecond: 40, seconds: 3, name: 'again' })
  t.true(fleet.relayedUpstreams.arrivals.some(({ upstream }) => upstream === 'desk-1@2'))
  await fleet.stop()
})

test('an engine that advertises draining only in its reports gets nothing more; a signal of another start is ignored', async (t) => {
  const fleet = await startFleet()
  const { box } = fleet.schedulerBox()
  const signals = { succeeded: false, draining: { draining: true, text: 'draining' } }
  box.observeUpstreamAt(fleet.address('decode-1'), signals)
  box.observeUpstreamAt(fleet.address('decode-2'), signals, 1)
  box.observeUpstreamAt('10.99.0.1:80', signals)
  await fleet.clock.advance(PROPAGATION_MS)
  const propagatedAtMs = fleet.clock.nowMs()
  await load(fleet, { target: '/draft/', perSecond: 25, seconds: 5 })
  t.deepEqual(arrivalsAt(fleet, 'decode-1', propagatedAtMs), [])
  t.true(arrivalsAt(fleet, 'decode-2', propagatedAtMs).length > 0)
  await fleet.stop()
})
