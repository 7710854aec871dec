import { PauseWatch } from '@reelspan/core.env'
import { SystemClock } from '@reelspan/net.system-env'
import { OrderRight } from '@reelspan/upstream.orders'
import test from 'ava'

/** A machine that can be suspended: its steady clock stands still, its time of day goes on. */
function startMachine ({ suspends = true } = {}) {
  const suspended: number[] = []
  let steadyMs = 5000
  let timeOfDayMs = 1_764_720_000_000
  const pass = (durationMs: number) => {
    steadyMs += durationMs
    timeOfDayMs += durationMs
  }
  const setTimeOfDay = (byMs: number) => { timeOfDayMs += byMs }
  const wasSuspended = async (durationMs: number) => {
    suspended.push(durationMs)
    return suspends
  }
  const clock = new SystemClock({ steadyMs: () => steadyMs, timeOfDayMs: () => timeOfDayMs, wasSuspended })
  return { clock, suspended, pass, setTimeOfDay }
}

test('time for which the machine was suspended counts', async (t) => {
  const { clock, suspended, pass, setTimeOfDay } = startMachine()
  const fromMs = clock.nowMs()
  pass(1000)
  t.is(clock.nowMs() - fromMs, 1000)
  setTimeOfDay(4000)
  pass(2)
  clock.nowMs()
  await clock.settle()
  t.is(clock.nowMs() - fromMs, 5002)
  pass(100)
  t.is(clock.nowMs() - fromMs, 5102)
  t.deepEqual(suspended, [4000])
})

test('a time of day that is set back, or adjusted little by little, changes nothing', (t) => {
  const { clock, suspended, pass, setTimeOfDay } = startMachine()
  const fromMs = clock.nowMs()
  pass(10)
  setTimeOfDay(-3000)
  pass(10)
  t.is(clock.nowMs() - fromMs, 20)
  for (let i = 0; i < 100; i++) {
    setTimeOfDay(5)
    pass(1000)
    clock.nowMs()
  }
  t.is(clock.nowMs() - fromMs, 100_020)
  t.deepEqual(suspended, [])
})

test('a time of day that was set forward, while the machine went on, changes nothing', async (t) => {
  const { clock, suspended, pass, setTimeOfDay } = startMachine({ suspends: false })
  const fromMs = clock.nowMs()
  setTimeOfDay(4000)
  pass(2)
  clock.nowMs()
  await clock.settle()
  t.is(clock.nowMs() - fromMs, 2)
  t.deepEqual(suspended, [4000])
})

test('a sleep that was due while the machine was suspended ends soon after, and one that was not goes on for the rest', async (t) => {
  const { clock, pass, setTimeOfDay } = startMachine()
  const ended: string[] = []
  const long = new AbortController()
  const due = clock.sleep(3000).then(() => ended.push('due'))
  const later = clock.sleep(60_000, { signal: long.signal }).then(() => ended.push('later'))
  setTimeOfDay(4000)
  pass(2)
  clock.nowMs()
  await due
  t.deepEqual(ended, ['due'])
  long.abort()
  await later
})

test('a right to give orders that ran out while the machine was suspended is lost at once', async (t) => {
  const { clock, pass, setTimeOfDay } = startMachine()
  let contactMs = clock.nowMs()
  const right = new OrderRight({ clock, lifeMs: 2000, lastContactMs: () => contactMs, pauses: new PauseWatch({ clock }) })
  right.take()
  for (let i = 0; i < 50; i++) {
    pass(100)
    contactMs = clock.nowMs()
    right.holds()
  }
  t.true(right.holds())
  setTimeOfDay(3000)
  pass(2)
  clock.nowMs()
  await clock.settle()
  t.false(right.holds())
})
