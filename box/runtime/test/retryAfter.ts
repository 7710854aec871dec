import { ErrorCode, Verdict } from '@reelspan/core.error'
import test from 'ava'
import { DECODE_ENGINES, PREFILL_ENGINES, SERVICES, startFleet } from './__utils__/crashingRequests.js'
import { arrivalsAt, load } from './__utils__/limitedUpstreams.js'
import { REFUSAL_BOUND_MS, MAX_IN_BACKOFF, mostInBackoff, refuseWithBackoff } from './__utils__/signallingUpstreams.js'

const DURATION_MS = 3000
const REFUSING = {
  'calls and prompts': [SERVICES, PREFILL_ENGINES],
  streams: [DECODE_ENGINES],
}

// Guards against boxes that ignore the Retry-After of a refusal and only count the upstream as slow.
for (const [requests, pools] of Object.entries(REFUSING)) {
  test(`${requests} do not reach upstreams that refused the box with 503 before the Retry-After has passed`, async (t) => {
    const fleet = await startFleet()
    const advertised = refuseWithBackoff(fleet, pools.flat(), { durationMs: DURATION_MS })
    await Promise.all([load(fleet, { target: '/status/', perSecond: 60, seconds: 10 }), load(fleet, { target: '/draft/', perSecond: 25, seconds: 10, name: 'draft' })])
    const most = pools.map((upstreams) => mostInBackoff(fleet, advertised, { upstreams, durationMs: DURATION_MS }))
    t.log(most)
    t.true(advertised.count > 0)
    most.forEach((got) => t.true(got <= MAX_IN_BACKOFF, `${got}`))
    await fleet.stop()
  })
}

for (const [target, upstreams] of [['/status/', SERVICES], ['/draft/', DECODE_ENGINES], ['/draft/', [...PREFILL_ENGINES, ...DECODE_ENGINES]]] as const) {
  test(`requests to ${target} are refused immediately if the box backs off from all ${upstreams.length} upstreams, and retries are spread over time`, async (t) => {
    const fleet = await startFleet()
    refuseWithBackoff(fleet, upstreams, { durationMs: DURATION_MS })
    const [box] = fleet.liveBoxes()
    // Every upstream must refuse the box once before it backs off from all of them.
    const first = await load(fleet, { target, perSecond: 60, seconds: 1, boxes: [box.name], name: 'first' })
    t.true(first.some(({ caller }) => caller.refused))
    const sinceMs = fleet.clock.nowMs()
    const outcomes = await load(fleet, { target, perSecond: 40, seconds: 1, boxes: [box.name] })
    t.true(arrivalsAt(fleet, upstreams[0], sinceMs).length <= MAX_IN_BACKOFF)
    const codes = new Set(outcomes.map(({ caller }) => caller.refused?.code))
    t.deepEqual([...codes], [ErrorCode.UpstreamBackoff])
    outcomes.forEach(({ caller: { refused }, heldMs }) => {
      t.is(refused?.verdict, Verdict.NotRun)
      t.true(heldMs <= REFUSAL_BOUND_MS, `${heldMs}`)
      const retryAfterMs = refused?.retryAfterMs ?? 0
      t.true(retryAfterMs > 0 && retryAfterMs <= DURATION_MS + 1000, `${retryAfterMs}`)
    })
    const times = new Set(outcomes.map(({ caller }) => caller.refused?.retryAfterMs))
    t.true(times.size > outcomes.length / 2, `${times.size} of ${outcomes.length}`)
    await fleet.stop()
  })
}

test('after its backoff an upstream gets its share of the load again, without a burst', async (t) => {
  const fleet = await startFleet()
  const startMs = fleet.clock.nowMs()
  refuseWithBackoff(fleet, ['desk-1'], { durationMs: DURATION_MS, untilMs: startMs + DURATION_MS })
  await load(fleet, { target: '/status/', perSecond: 60, seconds: 2 * DURATION_MS / 1000, name: 'first' })
  const againMs = fleet.clock.nowMs()
  const seconds = 10
  const outcomes = await load(fleet, { target: '/status/', perSecond: 60, seconds })
  const shares = SERVICES.map((name) => arrivalsAt(fleet, name, againMs).length / outcomes.length)
  t.log(shares)
  t.true(shares[0] >= 0.5 / SERVICES.length, `${shares[0]}`)
  const arrivals = arrivalsAt(fleet, 'desk-1', startMs + DURATION_MS)
  const peak = Math.max(...arrivals.map(({ atMs }) => arrivals.filter((other) => other.atMs >= atMs && other.atMs < atMs + 500).length))
  t.true(peak <= 2 * 30 / SERVICES.length, `${peak} in half a second`)
  t.true(outcomes.every(({ caller }) => caller.complete))
  await fleet.stop()
})

test('boxes that an upstream has not refused keep using it', async (t) => {
  const fleet = await startFleet()
  const refused = fleet.address('box-1')
  const advertised = refuseWithBackoff(fleet, SERVICES, { durationMs: DURATION_MS, boxes: [refused] })
  const sinceMs = fleet.clock.nowMs()
  await load(fleet, { target: '/status/', perSecond: 60, seconds: 6 })
  const from = (address: string) => fleet.relayedUpstreams.arrivals.filter((arrival) => arrival.atMs >= sinceMs && arrival.from === address).length
  t.true(advertised.count > 0)
  const others = fleet.liveBoxes().filter(({ name }) => name !== 'box-1')
  t.log(from(refused), others.map(({ address }) => from(address)))
  others.forEach(({ address }) => t.true(from(address) > 20, `${from(address)}`))
  t.true(from(refused) <= 2 * SERVICES.length + 2 * SERVICES.length * MAX_IN_BACKOFF)
  await fleet.stop()
})

test('a refusal without Retry-After causes no backoff', async (t) => {
  const fleet = await startFleet()
  fleet.relayedUpstreams.refusalStatusOf = () => 503
  const outcomes = await load(fleet, { target: '/status/', perSecond: 60, seconds: 3 })
  t.false(outcomes.some(({ caller }) => caller.refused?.code === ErrorCode.UpstreamBackoff))
  t.true(fleet.relayedUpstreams.arrivals.length > outcomes.length)
  await fleet.stop()
})
