import { UpstreamOutcome } from '@reelspan/core.messages'
import { UpstreamHealth } from '@reelspan/upstream.health'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const POOL = ['a', 'b', 'c']

function createHealth () {
  const clock = new VirtualClock()
  return { clock, health: new UpstreamHealth({ clock }) }
}

test('an unreachable upstream is suspected at once, and for longer each time', async (t) => {
  const { clock, health } = createHealth()
  health.record('a', UpstreamOutcome.Unreachable, POOL)
  t.true(health.isSuspect('a'))
  await clock.advance(1000)
  t.false(health.isSuspect('a'))
  health.record('a', UpstreamOutcome.Unreachable, POOL)
  await clock.advance(1500)
  t.true(health.isSuspect('a'))
  await clock.advance(500)
  health.record('a', UpstreamOutcome.Answered, POOL)
  health.record('a', UpstreamOutcome.Unreachable, POOL)
  await clock.advance(1000)
  t.false(health.isSuspect('a'))
})

test('failures common to all upstreams of a pool cause no suspicion', (t) => {
  const { health } = createHealth()
  for (let i = 0; i < 60; i++) POOL.forEach((name) => health.record(name, i % 3 === 0 ? UpstreamOutcome.Failed : UpstreamOutcome.Answered, POOL))
  t.deepEqual(health.suspects(), [])
})

test('an upstream that fails much more often than the others is suspected', (t) => {
  const { health } = createHealth()
  for (let i = 0; i < 10; i++) {
    health.record('a', UpstreamOutcome.Failed, POOL)
    health.record('b', UpstreamOutcome.Answered, POOL)
    health.record('c', i % 5 === 0 ? UpstreamOutcome.Failed : UpstreamOutcome.Answered, POOL)
  }
  t.deepEqual(health.suspects(), ['a'])
})

test('a few consecutive failures are sufficient if the other upstreams have none', (t) => {
  const { health } = createHealth()
  for (let i = 0; i < 4; i++) health.record('a', i % 2 === 0 ? UpstreamOutcome.Failed : UpstreamOutcome.Answered, POOL)
  health.record('a', UpstreamOutcome.Failed, POOL)
  t.deepEqual(health.suspects(), ['a'])
})

test('upstreams that are no longer listed are removed', (t) => {
  const { health } = createHealth()
  POOL.forEach((name) => health.record(name, UpstreamOutcome.Unreachable, POOL))
  health.retain(new Set(['b']))
  t.deepEqual(health.describe().map(({ upstream }) => upstream), ['b'])
})

test('a suspicion that came from silence ends with the first byte, and the next one is not longer', async (t) => {
  const { clock, health } = createHealth()
  health.record('a', UpstreamOutcome.Unreachable, POOL, { silent: true })
  await clock.advance(1000)
  health.record('a', UpstreamOutcome.Unreachable, POOL, { silent: true })
  t.true(health.isSuspect('a'))
  health.recordReceived('a')
  t.false(health.isSuspect('a'))
  health.record('a', UpstreamOutcome.Unreachable, POOL, { silent: true })
  await clock.advance(1000)
  t.false(health.isSuspect('a'))
})

test('a suspicion that came from refused connections or failures does not end with a byte', (t) => {
  const { health } = createHealth()
  health.record('a', UpstreamOutcome.Unreachable, POOL)
  health.record('b', UpstreamOutcome.Unreachable, POOL, { silent: true })
  health.record('b', UpstreamOutcome.Unreachable, POOL)
  for (let i = 0; i < 5; i++) health.record('c', UpstreamOutcome.Failed, POOL)
  POOL.forEach((name) => health.recordReceived(name))
  t.deepEqual(health.suspects(), POOL)
})
