import { RateLimiter } from '@reelspan/telemetry.log'
import test from 'ava'

test('the number of events per second is limited, and starts over in the next second', (t) => {
  let nowMs = 0
  const limiter = new RateLimiter({ nowMs: () => nowMs, perSecond: 2 })
  t.deepEqual([limiter.tryAcquire(), limiter.tryAcquire(), limiter.tryAcquire()], [true, true, false])
  nowMs = 999
  t.false(limiter.tryAcquire())
  nowMs = 1000
  t.true(limiter.tryAcquire())
})
