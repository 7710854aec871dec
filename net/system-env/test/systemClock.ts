import { PauseDetector } from '@reelspan/core.env'
import { SystemClock } from '@reelspan/net.system-env'
import { OrderLease } from '@reelspan/upstream.orders'
import test from 'ava'

/** A machine that can be suspended: its monotonic clock stops while its wall clock goes on. */
function startMachine ({ isSuspension = true } = {}) {
  const suspended: number[] = []
  let monotonicMs = 5000
  let wallClockMs = 1_764_720_000_000
  const pass = (durationMs: number) => {
    monotonicMs += durationMs
    wallClockMs += durationMs
  }
  const moveWallClock = (byMs: number) => { wallClockMs += byMs }
  const confirmSuspension = async (durationMs: number) => {
    suspended.push(durationMs)
    return isSuspension
  }
  const clock = new SystemClock({ monotonicMs: () => monotonicMs, wallClockMs: () => wallClockMs, confirmSuspension })
  return { clock, suspended, pass, moveWallClock }
}

test('the clock includes time for which the machine was suspended', async (t) => {
  const { clock, suspended, pass, moveWallClock } = startMachine()
  const fromMs = clock.nowMs()
  pass(1000)
  t.is(clock.nowMs() - fromMs, 1000)
  moveWallClock(4000)
  pass(2)
  clock.nowMs()
  await clock.awaitPendingInput()
  t.is(clock.nowMs() - fromMs, 5002)
  pass(100)
  t.is(clock.nowMs() - fromMs, 5102)
  t.deepEqual(suspended, [4000])
})

test('a wall clock that is set back or adjusted gradually does not change the clock', (t) => {
  const { clock, suspended, pass, moveWallClock } = startMachine()
  const fromMs = clock.nowMs()
  pass(10)
  moveWallClock(-3000)
  pass(10)
  t.is(clock.nowMs() - fromMs, 20)
  for (let i = 0; i < 100; i++) {
    moveWallClock(5)
    pass(1000)
    clock.nowMs()
  }
  t.is(clock.nowMs() - fromMs, 100_020)
  t.deepEqual(suspended, [])
})

test('a wall clock that is set forward without a suspension does not change the clock', async (t) => {
  const { clock, suspended, pass, moveWallClock } = startMachine({ isSuspension: false })
  const fromMs = clock.nowMs()
  moveWallClock(4000)
  pass(2)
  clock.nowMs()
  await clock.awaitPendingInput()
  t.is(clock.nowMs() - fromMs, 2)
  t.deepEqual(suspended, [4000])
})

test('a sleep that became due during a suspension ends right after it, and a longer one continues', async (t) => {
  const { clock, pass, moveWallClock } = startMachine()
  const ended: string[] = []
  const long = new AbortController()
  const due = clock.sleep(3000).then(() => ended.push('due'))
  const later = clock.sleep(60_000, { signal: long.signal }).then(() => ended.push('later'))
  moveWallClock(4000)
  pass(2)
  clock.nowMs()
  await due
  t.deepEqual(ended, ['due'])
  long.abort()
  await later
})

test('an order lease that expired during a suspension is invalid right after it', async (t) => {
  const { clock, pass, moveWallClock } = startMachine()
  let contactMs = clock.nowMs()
  const lease = new OrderLease({ clock, durationMs: 2000, lastContactMs: () => contactMs, pauses: new PauseDetector({ clock }) })
  lease.acquire()
  for (let i = 0; i < 50; i++) {
    pass(100)
    contactMs = clock.nowMs()
    lease.isValid()
  }
  t.true(lease.isValid())
  moveWallClock(3000)
  pass(2)
  clock.nowMs()
  await clock.awaitPendingInput()
  t.false(lease.isValid())
})
