import { RunDurations } from '@reelspan/request.relay'
import test from 'ava'

test('the estimate is the longest recent run of a kind times a safety factor, once enough runs have ended', (t) => {
  const durations = new RunDurations()
  Array.from({ length: 7 }, () => durations.record('a', 100))
  t.is(durations.expectedMaxMs('a'), undefined)
  durations.record('a', 400)
  t.is(durations.expectedMaxMs('a'), 500)
  Array.from({ length: 64 }, () => durations.record('a', 200))
  t.is(durations.expectedMaxMs('a'), 250)
})

test('an answer that may have more tokens than known ones is expected to take longer, a smaller one as long as the longest', (t) => {
  const durations = new RunDurations()
  Array.from({ length: 8 }, () => durations.record('a', 1000, 100))
  t.is(durations.expectedMaxMs('a', 400), 5000)
  t.is(durations.expectedMaxMs('a', 10), 1250)
  durations.record('a', 3000, 400)
  t.is(durations.expectedMaxMs('a', 400), 5000)
  t.is(durations.expectedMaxMs('a', 100), 3750)
})

test('kinds that no longer run are evicted', (t) => {
  const durations = new RunDurations()
  Array.from({ length: 8 }, () => durations.record('old', 100))
  Array.from({ length: 4000 }, (_, i) => durations.record(`route-${i}`, 100))
  t.is(durations.expectedMaxMs('old'), undefined)
})
