import test from 'ava'
import { DECODE_ENGINES, PREFILL_ENGINES, SERVICES, startFleet } from './__utils__/crashingRequests.js'
import { load } from './__utils__/limitedUpstreams.js'
import { MAX_IN_BACKOFF, mostInBackoff, refuseWithBackoff } from './__utils__/signallingUpstreams.js'

const DURATION_MS = 3000
const REFUSING = {
  'calls and prompts': [SERVICES, PREFILL_ENGINES],
  streams: [DECODE_ENGINES],
}

// A refusal counted as slowness of its upstream, and the time that it asked for was not read.
for (const [requests, pools] of Object.entries(REFUSING)) {
  test(`${requests} reach upstreams that refused the box with 503 and Retry-After before that time is over`, async (t) => {
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
