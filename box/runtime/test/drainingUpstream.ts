import test from 'ava'
import { startFleet } from './__utils__/crashingRequests.js'
import { load } from './__utils__/limitedUpstreams.js'
import { arrivalsAfterDrain, drain } from './__utils__/signallingUpstreams.js'

const DRAINING = ['desk-1', 'prefill-1', 'decode-1', 'decode-2']

// An upstream's word that it drains was passed on to the caller and not heeded.
test('calls, prompts and streams reach upstreams that said in an answer that they are draining', async (t) => {
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
