import { ReturnCalendar } from '@reelspan/scheduling.scheduler'
import test from 'ava'

const REFUSED = { firstArrivedAtMs: 1000, placeInMs: 800, costMs: 200, honouredMs: 4000 }

function createCalendar () {
  return new ReturnCalendar({ minDelayMs: 500, maxDelayMs: 30_000 })
}

test('who is refused is told to return when a place is expected, one after the other in the order of refusal', (t) => {
  const calendar = createCalendar()
  const delaysMs = ['a', 'b', 'c'].map((returnId) => calendar.book({ ...REFUSED, returnId }, 1000))
  t.deepEqual(delaysMs, [800, 1000, 1200])
})

test('no promise is given for a time that the caller does not wait for', (t) => {
  const calendar = createCalendar()
  const delaysMs = ['a', 'b'].map((returnId) => calendar.book({ ...REFUSED, returnId, honouredMs: 900 }, 1000))
  t.deepEqual(delaysMs, [800, 900])
  t.true(calendar.due('a', 1800)?.promised)
  t.false(calendar.due('b', 1900)?.promised)
  t.deepEqual(calendar.promisesDueAtMs(1000), [1800])
})

test('a refusal without a promise takes nothing from those that follow', (t) => {
  const calendar = createCalendar()
  calendar.book({ ...REFUSED, returnId: 'a', honouredMs: 100 }, 1000)
  t.is(calendar.book({ ...REFUSED, returnId: 'b' }, 1000), 800)
})

test('a request that comes back is known by its first arrival, when it comes about when it was told to', (t) => {
  const calendar = createCalendar()
  calendar.book({ ...REFUSED, returnId: 'a' }, 1000)
  t.is(calendar.due('a', 1500), undefined)
  t.like(calendar.due('a', 1760), { firstArrivedAtMs: 1000, promised: true })
  t.is(calendar.due('a', 3301), undefined)
})

test('who does not come back is forgotten', (t) => {
  const calendar = createCalendar()
  calendar.book({ ...REFUSED, returnId: 'a' }, 1000)
  calendar.book({ ...REFUSED, returnId: 'b', honouredMs: 100 }, 1000)
  calendar.expire(2700)
  t.is(calendar.size, 1)
  calendar.expire(3400)
  t.is(calendar.size, 0)
})
