import { FakeFleet } from '@reelspan/utils.fake-fleet'
import test from 'ava'

const SETTINGS = { membership: { probePeriodMs: 700, probeTimeoutMs: 300 } }
const SUSPENDED_MS = 2500

test('peers tell a suspension of the machine from a wall clock that was set', async (t) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = await new FakeFleet({ seed, settings: SETTINGS }).start()
    await fleet.clock.advance(130 * seed)
    const { box, clock } = fleet.box('box-1')
    t.false(await fleet.clock.run(box.handleClockJump(SUSPENDED_MS)), `seed ${seed}, set`)
    await fleet.clock.run(clock.suspendFor(SUSPENDED_MS))
    t.true(await fleet.clock.run(box.handleClockJump(SUSPENDED_MS)), `seed ${seed}, suspended`)
    await fleet.clock.advance(2000)
    t.false(await fleet.clock.run(box.handleClockJump(SUSPENDED_MS)), `seed ${seed}, set later`)
    await fleet.stop()
  }
})

test('a box that reaches no peer treats a wall clock jump as a suspension', async (t) => {
  const fleet = await new FakeFleet({ seed: 1, settings: SETTINGS }).start()
  fleet.isolate('box-1')
  t.true(await fleet.clock.run(fleet.box('box-1').box.handleClockJump(SUSPENDED_MS)))
  await fleet.stop()
})
