// Two of three upstreams of a service named a limit in their answers, some four requests a second from all boxes
// together. Callers saw nothing; the upstreams got as many requests as before, one of them more than the third, which
// had named no limit. Boxes passed the answers on and read nothing of it: what a box sent followed from zone and time
// alone. Nor would it have helped if each had: no single box sent more than the limit, all eight together did. The
// evidence: in the 4 s after the limits were named 80 and 44 requests, 7 of them second tries, against 18 and 16 that
// were named; and that these tests fail in the same way for prompts and streams, which the report does not have.
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'
import { startFleet } from './__utils__/crashingRequests.js'
import { arrivalsAt, peakUsageAt, load, advertiseLimits } from './__utils__/limitedUpstreams.js'

const LIMITS = { 'desk-1': 4.6, 'desk-2': 4, 'prefill-1': 2, 'decode-1': 1.5, 'decode-2': 0.4 }
const SECONDS = 15

/** Load at a fleet of which some upstreams name limits, and how full each of these became. */
async function peakUsages (fleet: FakeFleet, upstreams: readonly (keyof typeof LIMITS)[], { target, perSecond }: { target: string, perSecond: number }) {
  const advertisedAtMs = fleet.clock.nowMs()
  advertiseLimits(fleet, LIMITS)
  await load(fleet, { target, perSecond, seconds: SECONDS })
  return upstreams.map((upstream) => ({
    upstream,
    got: arrivalsAt(fleet, upstream, advertisedAtMs).length,
    fullest: Number(peakUsageAt(fleet, upstream, { perSecond: LIMITS[upstream], advertisedAtMs }).toFixed(2)),
  }))
}

test('calls to upstreams that name a limit keep it, summed over all boxes', async (t) => {
  const fleet = await startFleet()
  const seen = await peakUsages(fleet, ['desk-1', 'desk-2'], { target: '/status/', perSecond: 60 })
  t.log(seen)
  seen.forEach((one) => t.true(one.fullest <= 1, `${one.upstream}: ${one.fullest}`))
  await fleet.stop()
})

test('prompts and streams keep the limits that engines name, summed over all boxes', async (t) => {
  const fleet = await startFleet()
  const seen = await peakUsages(fleet, ['prefill-1', 'decode-1', 'decode-2'], { target: '/draft/', perSecond: 25 })
  t.log(seen)
  seen.forEach((one) => t.true(one.fullest <= 1, `${one.upstream}: ${one.fullest}`))
  await fleet.stop()
})
