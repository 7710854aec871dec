// Guards against a request that crashes one engine after the other. A caller repeats the same prompt under a new id
// each time, mostly at other boxes; about 60 ms after decoding starts, the engine's process exits and interrupts all
// its other streams. Twelve engines exited within eleven seconds: boxes and scheduler blamed the engine and avoided it
// for a second, but nothing tracked the request, so each repetition was placed as a new one with `attempt=1`.
import { ErrorCode, Verdict } from '@reelspan/core.error'
import { QUARANTINE_MS } from '@reelspan/request.quarantine'
import { FakeFleet, type FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import test from 'ava'
import { lateAttempts, PROPAGATION_MS, HOST, MAX_LATE_ATTEMPTS, repeatRequest, SERVICES, startFleet } from './__utils__/crashingRequests.js'

const SEEDS = [1, 2, 3]
const CRASHING = { times: 20, everyMs: 900 }

/** Number of upstreams that exited while they ran a target. */
function countEnded ({ relayedUpstreams }: FakeFleet, target: string): number {
  return relayedUpstreams.crashes.filter((ended) => ended.target === target).length
}

test('a stream that has crashed three engines is no longer sent to engines, whichever box receives it', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet({ seed })
    await repeatRequest(fleet, { ...CRASHING, target: '/draft/ends' })
    t.true(countEnded(fleet, '/draft/ends') >= 3, `seed ${seed}: it ended ${countEnded(fleet, '/draft/ends')}`)
    t.true(lateAttempts(fleet, '/draft/ends').length <= MAX_LATE_ATTEMPTS, `seed ${seed}: ${lateAttempts(fleet, '/draft/ends').join(', ')}`)
    await fleet.stop()
  }
})

test('a call that has crashed three upstreams is no longer sent to upstreams', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet({ seed })
    await repeatRequest(fleet, { ...CRASHING, target: '/status/ends' })
    t.true(countEnded(fleet, '/status/ends') >= 3, `seed ${seed}: it ended ${countEnded(fleet, '/status/ends')}`)
    t.true(lateAttempts(fleet, '/status/ends').length <= MAX_LATE_ATTEMPTS, `seed ${seed}: ${lateAttempts(fleet, '/status/ends').join(', ')}`)
    await fleet.stop()
  }
})

test('other requests are served while one request crashes engines', async (t) => {
  const fleet = await startFleet()
  const crashing = repeatRequest(fleet, { ...CRASHING, target: '/draft/ends' })
  for (let i = 0; i < 60; i++) {
    void fleet.relay(`box-${1 + i % 8}`, { id: `other-${i}`, host: HOST, target: `/draft/other-${i}` })
    await fleet.clock.advance(300)
  }
  await crashing
  const again = await fleet.clock.run(fleet.relay('box-1', { id: 'again', host: HOST, target: '/draft/other-7' }))
  t.true(again.complete)
  await fleet.stop()
})

/** Callers refused because their request is quarantined. */
function quarantinedCallers (callers: readonly FakeRelayCaller[]): FakeRelayCaller[] {
  return callers.filter(({ refused }) => refused?.code === ErrorCode.RequestQuarantined)
}

/** Names of the live boxes that hold a request in quarantine. */
function boxesWithQuarantine ({ boxes }: FakeFleet): string[] {
  return boxes.filter(({ alive, box }) => alive && box.describe().quarantine.requests > 0).map(({ name }) => name)
}

test('a request that crashes upstreams is refused immediately as not run, with the remaining quarantine as retry delay', async (t) => {
  const fleet = await startFleet()
  const callers = await repeatRequest(fleet, { ...CRASHING, target: '/draft/ends' })
  const refused = quarantinedCallers(callers)
  t.true(refused.length >= CRASHING.times - 3 - MAX_LATE_ATTEMPTS)
  t.deepEqual([...new Set(refused.map((caller) => caller.refused?.verdict))], [Verdict.NotRun])
  refused.forEach(({ refused: final }) => t.true((final?.retryAfterMs ?? 0) > 0 && (final?.retryAfterMs ?? 0) <= QUARANTINE_MS))
  const sent = new Set(fleet.relayedUpstreams.arrivals.filter(({ target }) => target === '/draft/ends').map(({ id }) => id))
  t.is(sent.size, CRASHING.times - refused.length)
  await fleet.stop()
})

test('a resumable stream does not crash one engine after the other', async (t) => {
  const fleet = await startFleet()
  await repeatRequest(fleet, { ...CRASHING, target: '/reply/ends' })
  t.true(countEnded(fleet, '/reply/ends') >= 3)
  t.true(lateAttempts(fleet, '/reply/ends').length <= MAX_LATE_ATTEMPTS)
  await fleet.stop()
})

test('completion requests that crash engines are no longer sent to engines', async (t) => {
  const ended: number[] = []
  const onRun = (engine: string, prompt: string) => {
    if (!prompt.includes('ends')) return
    ended.push(fleet.clock.nowMs())
    void fleet.crash(engine)
  }
  const fleet: FakeFleet = new FakeFleet({ seed: 1, engine: { onDecodeStarted: onRun } })
  await fleet.start()
  for (let i = 0; i < 12; i++) {
    const box = `box-${1 + i % 8}`
    void fleet.send(box, fleet.completion(box, 'draft that ends engines', { notRepeatable: true })).catch(() => {})
    await fleet.clock.advance(4500)
  }
  t.true(ended.length >= 3 && ended.length <= 3 + MAX_LATE_ATTEMPTS, `${ended.length}`)
  const other = await fleet.clock.run(fleet.send('box-1', fleet.completion('box-1', 'another draft')))
  t.is(other.verdict, Verdict.Finished)
  await fleet.stop()
})

test('all of 195 boxes soon quarantine a request that crashed upstreams at some of them', async (t) => {
  const fleet = await startFleet({ boxCount: 195 })
  await repeatRequest(fleet, { target: '/draft/ends', times: 3, everyMs: 900 })
  await fleet.clock.advance(1000)
  t.is(countEnded(fleet, '/draft/ends'), 3)
  t.is(boxesWithQuarantine(fleet).length, 195)
  await repeatRequest(fleet, { target: '/draft/ends', times: 5, everyMs: 200 })
  t.is(countEnded(fleet, '/draft/ends'), 3)
  await fleet.stop()
})

test('boxes that were isolated or have restarted learn of a quarantine soon after they reach another box', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet({ seed })
    const cutOff = fleet.boxes.filter(({ availabilityZone }) => availabilityZone === 'hall-a').map(({ name }) => name)
    const others = fleet.boxes.map(({ name }) => name).filter((name) => !cutOff.includes(name))
    fleet.isolateZone('hall-a')
    await repeatRequest(fleet, { target: '/draft/ends', times: 6, everyMs: 900, boxes: others })
    t.true(boxesWithQuarantine(fleet).every((name) => others.includes(name)))
    fleet.network.healAll()
    await fleet.clock.advance(PROPAGATION_MS)
    t.deepEqual(boxesWithQuarantine(fleet), fleet.boxes.map(({ name }) => name), `seed ${seed}, after a cut`)
    fleet.kill('box-2')
    await fleet.clock.advance(500)
    await fleet.clock.run(fleet.startBox('box-2'))
    await fleet.clock.advance(PROPAGATION_MS)
    t.true(boxesWithQuarantine(fleet).includes('box-2'), `seed ${seed}, after a restart`)
    await fleet.stop()
  }
})

test('updates that were lost are fetched after a heartbeat', async (t) => {
  const fleet = await startFleet()
  const [unreached, ...rest] = fleet.boxes
  const others = rest.filter(({ address }) => address !== unreached.address)
  others.forEach(({ address }) => fleet.network.block(address, unreached.address))
  await repeatRequest(fleet, { target: '/draft/ends', times: 3, everyMs: 400, boxes: others.map(({ name }) => name) })
  fleet.network.healAll()
  await fleet.clock.advance(PROPAGATION_MS)
  t.true(boxesWithQuarantine(fleet).includes(unreached.name))
  await fleet.stop()
})

test('a request that crashes upstreams for one caller is still served for another caller', async (t) => {
  const fleet = await startFleet()
  fleet.relayedUpstreams.crashesUpstream = ({ target, callerAddress }) => target.includes('ends') && callerAddress === '10.9.0.1'
  const otherCaller = repeatRequest(fleet, { target: '/status/ends', times: 40, everyMs: 450, callerAddress: '10.9.0.2' })
  await fleet.clock.advance(100)
  const crashing = await repeatRequest(fleet, { ...CRASHING, target: '/status/ends', callerAddress: '10.9.0.1' })
  t.true(quarantinedCallers(crashing).length >= CRASHING.times - 3 - MAX_LATE_ATTEMPTS)
  t.deepEqual(quarantinedCallers(await otherCaller), [])
  await fleet.stop()
})

test('a request that repeatedly runs beside one that crashes engines is not quarantined', async (t) => {
  const fleet = await startFleet()
  const crashing = repeatRequest(fleet, { ...CRASHING, target: '/draft/ends' })
  const beside = await repeatRequest(fleet, { target: '/draft/beside', times: 60, everyMs: 300, callerAddress: '10.9.0.2' })
  await crashing
  t.deepEqual(quarantinedCallers(beside), [])
  const after = await fleet.clock.run(fleet.relay('box-3', { id: 'after', host: HOST, target: '/draft/beside', callerAddress: '10.9.0.2' }))
  t.true(after.complete)
  await fleet.stop()
})

test('a request that runs on several upstreams that exit together is not quarantined', async (t) => {
  const fleet = await startFleet()
  const running = fleet.boxes.map(({ name }, i) => fleet.relay(name, { id: `copy-${i}`, host: HOST, target: '/status/popular' }))
  await fleet.clock.advance(30)
  SERVICES.forEach((name) => { void fleet.crash(name) })
  await fleet.clock.run(Promise.all(running))
  await fleet.clock.advance(5000)
  const after = await fleet.clock.run(fleet.relay('box-3', { id: 'after', host: HOST, target: '/status/popular' }))
  t.true(after.complete)
  await fleet.stop()
})

test('a quarantine ends, and starts again at the next crash', async (t) => {
  const fleet = await startFleet()
  await repeatRequest(fleet, { ...CRASHING, target: '/draft/ends' })
  const before = countEnded(fleet, '/draft/ends')
  await fleet.clock.advance(QUARANTINE_MS)
  await repeatRequest(fleet, { target: '/draft/ends', times: 6, everyMs: 900 })
  t.is(countEnded(fleet, '/draft/ends'), before + 1)
  await fleet.stop()
})
