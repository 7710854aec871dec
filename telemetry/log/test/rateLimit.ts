import { RateLimit } from '@reelspan/telemetry.log'
import test from 'ava'

test('so many are let through in a second, and again in the next', (t) => {
  let nowMs = 0
  const limit = new RateLimit({ nowMs: () => nowMs, perSecond: 2 })
  t.deepEqual([limit.take(), limit.take(), limit.take()], [true, true, false])
  nowMs = 999
  t.false(limit.take())
  nowMs = 1000
  t.true(limit.take())
})
