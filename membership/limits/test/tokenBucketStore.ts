import { TokenBucketStore } from '@reelspan/membership.limits'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

test('a share that is not in use does not refill, so that it does not add to what the coordinator grants meanwhile', async (t) => {
  const clock = new VirtualClock()
  const buckets = new TokenBucketStore({ clock, configOf: () => ({ perSecond: 10, burst: 100, initialLevel: 10 }) })
  t.is(buckets.acquire('account', 10), 0)
  await clock.advance(5000)
  buckets.skipRefill('account')
  t.is(buckets.waitMs('account', 10), 1000)
  await clock.advance(1000)
  t.is(buckets.acquire('account', 10), 0, 'it refills again while it is in use')
})
