// Users saw streams cut, and engines go down one after the other: a caller sent the same
// draft again and again, under a new id each time and most often to another box; each time an engine read
// its prompt, another began to run it and its process ended some 60 ms later, and whatever else ran there
// was cut with it. Twelve engines ended within eleven seconds. Each box and the scheduler held the engine for
// the cause and left it aside for a second; nobody noted whose request it had been, so that each attempt was
// placed like a first one. The evidence: the hash of the prompt stood in the lines of all twelve ends, with
// `attempt=1` each time, and in no other stream's line twice.
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'
import { attemptsTooMany, HOST, MOST_AFTERWARDS, repeat, startFleet } from './__utils__/crashingRequests.js'

const SEEDS = [1, 2, 3]
const CRASHING = { times: 20, everyMs: 900 }

/** How many upstreams have ended under a target. */
function endedUnder ({ relayed }: FakeFleet, target: string): number {
  return relayed.endedUnder.filter((ended) => ended.target === target).length
}

test('a stream that has ended three engines is not sent to engines any more, at whichever box it comes again', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet({ seed })
    await repeat(fleet, { ...CRASHING, target: '/draft/ends' })
    t.true(endedUnder(fleet, '/draft/ends') >= 3, `seed ${seed}: it ended ${endedUnder(fleet, '/draft/ends')}`)
    t.true(attemptsTooMany(fleet, '/draft/ends').length <= MOST_AFTERWARDS, `seed ${seed}: ${attemptsTooMany(fleet, '/draft/ends').join(', ')}`)
    await fleet.stop()
  }
})

test('a call that has ended three upstreams is not sent to upstreams any more', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startFleet({ seed })
    await repeat(fleet, { ...CRASHING, target: '/status/ends' })
    t.true(endedUnder(fleet, '/status/ends') >= 3, `seed ${seed}: it ended ${endedUnder(fleet, '/status/ends')}`)
    t.true(attemptsTooMany(fleet, '/status/ends').length <= MOST_AFTERWARDS, `seed ${seed}: ${attemptsTooMany(fleet, '/status/ends').join(', ')}`)
    await fleet.stop()
  }
})

test('requests that are sent while another one ends engines are served at last', async (t) => {
  const fleet = await startFleet()
  const crashing = repeat(fleet, { ...CRASHING, target: '/draft/ends' })
  for (let i = 0; i < 60; i++) {
    void fleet.relay(`box-${1 + i % 8}`, { id: `other-${i}`, host: HOST, target: `/draft/other-${i}` })
    await fleet.clock.advance(300)
  }
  await crashing
  const again = await fleet.clock.run(fleet.relay('box-1', { id: 'again', host: HOST, target: '/draft/other-7' }))
  t.true(again.whole)
  await fleet.stop()
})
