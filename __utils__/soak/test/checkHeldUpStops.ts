import { type Attempt, checkHeldUpStops, type HeldUpStopHistory, RouteKind } from '@reelspan/utils.soak'
import test from 'ava'

const CUT: Attempt = { id: 'a', kind: RouteKind.Once, box: 'box-1', sentAtMs: 3200, endedAtMs: 8000, deadlineMs: 14_000, error: 'closed' }
const ARRIVAL = { id: 'a', instance: 'i-1', atMs: 3210 }

function resultOf (overrides: Partial<HeldUpStopHistory> = {}) {
  return checkHeldUpStops({ attempts: [CUT], arrivals: [ARRIVAL], runs: [], stops: [{ box: 'box-1', atMs: 0 }], wasInterrupted: () => false, ...overrides })
}

test('reports a late request that a held-up box passed on and interrupted', (t) => {
  const { violations, checkCounts } = resultOf()
  t.regex(violations[0], /was sent 3200 ms after the SIGTERM of a box that was held up, and interrupted 8000 ms after it/)
  t.is(checkCounts.sentLate, 1)
})

test('early requests, requests that were not passed on, whole answers, lost answers and other faults are no violation', (t) => {
  t.deepEqual(resultOf({ attempts: [{ ...CUT, sentAtMs: 2900 }] }).checkCounts, { sentLate: 0 })
  t.deepEqual(resultOf({ arrivals: [] }).violations, [])
  t.deepEqual(resultOf({ attempts: [{ ...CUT, error: undefined }] }).violations, [])
  t.deepEqual(resultOf({ wasInterrupted: () => true }).violations, [])
  t.deepEqual(resultOf({ stops: [{ box: 'box-2', atMs: 0 }] }).checkCounts, { sentLate: 0 })
})
