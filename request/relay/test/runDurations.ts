import { RunDurations } from '@reelspan/request.relay'
import test from 'ava'

test('the estimate is the longest recent run of a kind times a safety factor, once enough runs have ended', (t) => {
  const times = new RunDurations()
  Array.from({ length: 7 }, () => times.record('a', 100))
  t.is(times.expectedMaxMs('a'), undefined)
  times.record('a', 400)
  t.is(times.expectedMaxMs('a'), 500)
  Array.from({ length: 64 }, () => times.record('a', 200))
  t.is(times.expectedMaxMs('a'), 250)
})

test('kinds that no longer run are evicted', (t) => {
  const times = new RunDurations()
  Array.from({ length: 8 }, () => times.record('old', 100))
  Array.from({ length: 4000 }, (_, i) => times.record(`route-${i}`, 100))
  t.is(times.expectedMaxMs('old'), undefined)
})
