import { RateLimit } from '@reelspan/telemetry.log'
import test from 'ava'

test('the number of events per second is limited, and starts over in the next second', (t) => {
  let nowMs = 0
  const limiter = new RateLimit({ nowMs: () => nowMs, perSecond: 2 })
  t.deepEqual([limiter.take(), limiter.take(), limiter.take()], [true, true, false])
  nowMs = 999
  t.false(limiter.take())
  nowMs = 1000
  t.true(limiter.take())
})
