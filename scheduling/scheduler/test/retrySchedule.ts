import { RetrySchedule } from '@reelspan/scheduling.scheduler'
import test from 'ava'

const REFUSED = { firstArrivedAtMs: 1000, slotMs: (promisedCount: number) => 800 + 200 * promisedCount, graceMs: 0, reservedSlotMs: () => Number.POSITIVE_INFINITY, maxHonouredDelayMs: 4000 }

function createSchedule () {
  return new RetrySchedule({ minDelayMs: 500, maxDelayMs: 30_000 })
}

test('refused requests get retry times at which a slot is expected, one after another in order of refusal', (t) => {
  const schedule = createSchedule()
  const delaysMs = ['a', 'b', 'c'].map((returnId) => schedule.schedule({ ...REFUSED, returnId }, 1000))
  t.deepEqual(delaysMs, [800, 1000, 1200])
})

test('no slot is promised for a time beyond the delay that the caller honours', (t) => {
  const schedule = createSchedule()
  const delaysMs = ['a', 'b'].map((returnId) => schedule.schedule({ ...REFUSED, returnId, maxHonouredDelayMs: 900 }, 1000))
  t.deepEqual(delaysMs, [800, 900])
  t.true(schedule.findDue('a', 1800)?.promised)
  t.false(schedule.findDue('b', 1900)?.promised)
  t.deepEqual(schedule.promisesDueAtMs(1000), [1800])
})

test('a refusal without a promised slot does not delay later ones', (t) => {
  const schedule = createSchedule()
  schedule.schedule({ ...REFUSED, returnId: 'a', maxHonouredDelayMs: 100 }, 1000)
  t.is(schedule.schedule({ ...REFUSED, returnId: 'b' }, 1000), 800)
})

test('a retry at about the assigned time keeps its first arrival time', (t) => {
  const schedule = createSchedule()
  schedule.schedule({ ...REFUSED, returnId: 'a' }, 1000)
  t.is(schedule.findDue('a', 1500), undefined)
  t.like(schedule.findDue('a', 1760), { firstArrivedAtMs: 1000, promised: true })
  t.is(schedule.findDue('a', 3301), undefined)
})

test('retries that do not arrive expire', (t) => {
  const schedule = createSchedule()
  schedule.schedule({ ...REFUSED, returnId: 'a' }, 1000)
  schedule.schedule({ ...REFUSED, returnId: 'b', maxHonouredDelayMs: 100 }, 1000)
  schedule.expire(2700)
  t.is(schedule.size, 1)
  schedule.expire(3400)
  t.is(schedule.size, 0)
})
