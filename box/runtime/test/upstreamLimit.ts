// Guards against boxes that ignore the rate limits that upstreams advertise for all boxes together. Two of three
// upstreams of a service advertised about 4 requests per second; in the next 4 s they got 80 and 44 requests, 7 of them
// retries, instead of the 18 and 16 allowed. A limit per box would not help: none of the eight boxes exceeded it alone.
// Prompts and streams are affected in the same way as calls.
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'
import { startFleet } from './__utils__/crashingRequests.js'
import { arrivalsAt, peakUsageAt, load, advertiseLimits } from './__utils__/limitedUpstreams.js'

const LIMITS = { 'desk-1': 4.6, 'desk-2': 4, 'prefill-1': 2, 'decode-1': 1.5, 'decode-2': 0.4 }
const SECONDS = 15

/** Runs load while some upstreams advertise limits, and returns the peak usage of each. */
async function peakUsages (fleet: FakeFleet, upstreams: readonly (keyof typeof LIMITS)[], { target, perSecond }: { target: string, perSecond: number }) {
  const advertisedAtMs = fleet.clock.nowMs()
  advertiseLimits(fleet, LIMITS)
  await load(fleet, { target, perSecond, seconds: SECONDS })
  return upstreams.map((upstream) => ({
    upstream,
    requests: arrivalsAt(fleet, upstream, advertisedAtMs).length,
    peak: Number(peakUsageAt(fleet, upstream, { perSecond: LIMITS[upstream], advertisedAtMs }).toFixed(2)),
  }))
}

test('calls of all boxes together stay within the limits that upstreams advertise', async (t) => {
  const fleet = await startFleet()
  const seen = await peakUsages(fleet, ['desk-1', 'desk-2'], { target: '/status/', perSecond: 60 })
  t.log(seen)
  seen.forEach((one) => t.true(one.peak <= 1, `${one.upstream}: ${one.peak}`))
  await fleet.stop()
})

test('prompts and streams of all boxes together stay within the limits that engines advertise', async (t) => {
  const fleet = await startFleet()
  const seen = await peakUsages(fleet, ['prefill-1', 'decode-1', 'decode-2'], { target: '/draft/', perSecond: 25 })
  t.log(seen)
  seen.forEach((one) => t.true(one.peak <= 1, `${one.upstream}: ${one.peak}`))
  await fleet.stop()
})
