// Guards against the loss of one non-repeatable call per box. A flapping upstream accepted connections and closed them
// without an answer, and each box detected it only by losing a call: 84 calls ended with 502 within 5 s at 88 boxes,
// all sent to the one of three upstreams that was down.
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { UpstreamError } from '@reelspan/upstream.client'
import test from 'ava'
import { HOST, startFleet } from './__utils__/crashingRequests.js'

const CALLS = 400
const EVERY_MS = 10
const DOWN_MS = 1100

/** Sends calls through all boxes in turn while one upstream accepts connections and closes them. Returns how many calls were lost. */
async function countLostCalls (fleet: FakeFleet): Promise<number> {
  const down = fleet.address('desk-1')
  const downUntilMs = fleet.clock.nowMs() + DOWN_MS
  const run = fleet.relayedUpstreams.run.bind(fleet.relayedUpstreams)
  fleet.relayedUpstreams.run = (target, request, opts) => {
    if (target.address === down && fleet.clock.nowMs() < downUntilMs) throw new UpstreamError(`${target.address} closed the connection`, { mayHaveRun: true, unreachable: true })
    return run(target, request, opts)
  }
  const calls = []
  for (let i = 0; i < CALLS; i++) {
    calls.push(fleet.relay(`box-${1 + i % fleet.boxes.length}`, { id: `c${i}`, host: HOST, target: '/once/1', prompt: undefined }))
    await fleet.clock.advance(EVERY_MS)
  }
  const callers = await fleet.clock.run(Promise.all(calls))
  return callers.filter(({ refused }) => refused !== undefined).length
}

test('an upstream that closes connections costs the fleet a few calls, not one per box', async (t) => {
  const fleet = await startFleet({ boxCount: 58 })
  const lost = await countLostCalls(fleet)
  t.log(`${lost} of ${CALLS} calls lost`)
  // Two boxes must see it first. Until all boxes know, about a fifth of a second, a fifth of the calls are lost.
  t.true(lost <= 8)
  await fleet.stop()
})
