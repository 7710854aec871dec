import { checkSignals, RouteKind, type SignalledHistory } from '@reelspan/utils.soak'
import test from 'ava'

const attempt = (id: string, sentAtMs: number, status = 200) => ({ id, kind: RouteKind.Once, box: 'a', sentAtMs, endedAtMs: sentAtMs + 20, deadlineMs: 2000, status })
const arrival = (id: string, atMs: number, instance = 'i-1') => ({ id, instance, atMs })
const NOTHING = { attempts: [], arrivals: [], draining: [], refusing: [], isUnharmed: () => true }

function draining (sentAtMs: number, over: Partial<SignalledHistory> = {}): SignalledHistory {
  return {
    ...NOTHING,
    attempts: [attempt('before', 0), attempt('told', 1000), attempt('late', sentAtMs)],
    arrivals: [arrival('before', 10), arrival('told', 1010), arrival('late', sentAtMs + 10)],
    draining: [{ instance: 'i-1', fromMs: 500 }],
    ...over,
  }
}

test('what was sent later than the bound after a response said that an upstream is draining is found', (t) => {
  t.deepEqual(checkSignals(draining(3000)).violations, [])
  t.is(checkSignals(draining(3100)).violations.length, 1)
  t.is(checkSignals(draining(3000)).judged.draining, 1)
  t.is(checkSignals(draining(3000, { isUnharmed: () => false })).judged.draining, 0)
  t.deepEqual(checkSignals(draining(3100, { isUnharmed: () => false })).violations, [])
})

test('a response that was not passed on tells a box nothing', (t) => {
  const failed = draining(3100, { attempts: [attempt('told', 1000, 504), attempt('late', 3100)] })
  t.deepEqual(checkSignals(failed).violations, [])
  const elsewhere = draining(3100, { arrivals: [arrival('told', 1010), arrival('told', 1015, 'i-2'), arrival('late', 3110)] })
  t.deepEqual(checkSignals(elsewhere).violations, [])
})

test('more than two requests in a time for which a box was asked to wait are found, those that crossed the refusal are not counted', (t) => {
  const times = [1000, 1400, 1600, 1700, 2900]
  const history = (more: readonly number[] = []) => ({
    ...NOTHING,
    attempts: [...times, ...more].map((atMs) => attempt(`r-${atMs}`, atMs)),
    arrivals: [...times, ...more].map((atMs) => arrival(`r-${atMs}`, atMs)),
    refusing: [{ instance: 'i-1', waitMs: 1500, fromMs: 900, toMs: 1100 }],
  })
  t.deepEqual(checkSignals(history()).violations, [])
  t.is(checkSignals(history([2000])).violations.length, 1)
  t.deepEqual(checkSignals({ ...history([2000]), isUnharmed: () => false }).violations, [])
})
