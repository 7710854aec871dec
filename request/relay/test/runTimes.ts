import { RunTimes } from '@reelspan/request.relay'
import test from 'ava'

test('the longest of the last runs of a kind counts, with a margin, once enough have ended', (t) => {
  const times = new RunTimes()
  Array.from({ length: 7 }, () => times.note('a', 100))
  t.is(times.likelyLongestMs('a'), undefined)
  times.note('a', 400)
  t.is(times.likelyLongestMs('a'), 500)
  Array.from({ length: 64 }, () => times.note('a', 200))
  t.is(times.likelyLongestMs('a'), 250)
})

test('kinds that no longer run are forgotten', (t) => {
  const times = new RunTimes()
  Array.from({ length: 8 }, () => times.note('old', 100))
  Array.from({ length: 4000 }, (_, i) => times.note(`route-${i}`, 100))
  t.is(times.likelyLongestMs('old'), undefined)
})
