import { type LimitedCost, SharedLimiter } from '@reelspan/membership.limits'
import { Metrics } from '@reelspan/telemetry.metrics'
import { SendPermits, WaitReason } from '@reelspan/upstream.limits'
import { Backoffs, UpstreamStates } from '@reelspan/upstream.signals'
import { RecordingLog } from '@reelspan/utils.fake-fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

/** Grants a number of costs, and counts acquire and release calls. */
class CountingLimiter extends SharedLimiter {
  acquireCount = 0
  releaseCount = 0
  left = 1
  waitMs = 400

  async acquire (_taken: LimitedCost): Promise<number> {
    this.acquireCount++
    return this.left-- > 0 ? 0 : this.waitMs
  }

  release (): void {
    this.releaseCount++
  }
}

function create () {
  const clock = new VirtualClock()
  const limits = new UpstreamStates({ clock, log: new RecordingLog(), isListed: () => true })
  const limiter = new CountingLimiter()
  const name = (perSecond: number) => limits.observe('a', { succeeded: true, rateLimit: { perSecond, text: '' } }, 0)
  const backoffs = new Backoffs({ clock, log: new RecordingLog() })
  return { clock, limiter, limits, backoffs, name, permits: new SendPermits({ clock, states: limits, backoffs, limiter, metrics: new Metrics() }) }
}

test('an upstream without a limit needs no permit from the limiter', async (t) => {
  const { limiter, permits } = create()
  t.true((await permits.acquire('a')).granted)
  t.is(limiter.acquireCount, 0)
})

test('a permit is released once, and only if it was granted and nothing was sent', async (t) => {
  const { limiter, name: advertise, permits } = create()
  advertise(2)
  limiter.left = 2
  const [sent, unsent, refused] = [await permits.acquire('a'), await permits.acquire('a'), await permits.acquire('a')]
  sent.recordSent()
  t.deepEqual([sent.granted, unsent.granted, refused.granted], [true, true, false]);
  [sent, unsent, refused].forEach((permit) => {
    permit.release()
    permit.release()
  })
  t.is(limiter.releaseCount, 1)
})

test('the limiter is not asked again before a permit can be available, unless the limit has changed', async (t) => {
  const { clock, limiter, name, permits } = create()
  name(2)
  limiter.left = 0
  t.is((await permits.acquire('a')).wait?.durationMs, 400)
  await clock.advance(100)
  t.is((await permits.acquire('a')).wait?.durationMs, 300)
  t.is(limiter.acquireCount, 1)
  await clock.advance(300)
  await permits.acquire('a')
  t.is(limiter.acquireCount, 2)
  name(3)
  await permits.acquire('a')
  t.is(limiter.acquireCount, 3)
})

test('after a long refusal the limiter is asked again after a second, since a permit may have been released', async (t) => {
  const { clock, limiter, name, permits } = create()
  name(0.1)
  limiter.left = 0
  limiter.waitMs = 9000
  t.is((await permits.acquire('a')).wait?.durationMs, 9000)
  await clock.advance(500)
  t.is((await permits.acquire('a')).wait?.durationMs, 8500)
  t.is(limiter.acquireCount, 1)
  await clock.advance(501)
  await permits.acquire('a')
  t.is(limiter.acquireCount, 2)
})

test('while this box backs off from an upstream no permit is granted, with or without a limit, and no other box is asked', async (t) => {
  const { clock, limiter, name, permits, backoffs } = create()
  backoffs.start('a', 3000)
  t.deepEqual((await permits.acquire('a')).wait, { reason: WaitReason.Backoff, durationMs: 3000 })
  name(2)
  await clock.advance(1000)
  t.deepEqual((await permits.acquire('a')).wait, { reason: WaitReason.Backoff, durationMs: 2000 })
  t.is(limiter.acquireCount, 0)
  await clock.advance(2000)
  t.true((await permits.acquire('a')).granted)
  t.is(limiter.acquireCount, 1)
})
