import { checkSignals, RouteKind, type SignalHistory } from '@reelspan/utils.soak'
import test from 'ava'

const attempt = (id: string, sentAtMs: number, status = 200) => ({ id, kind: RouteKind.Once, box: 'a', sentAtMs, endedAtMs: sentAtMs + 20, deadlineMs: 2000, status })
const arrival = (id: string, atMs: number, instance = 'i-1') => ({ id, instance, atMs })
const EMPTY_HISTORY = { attempts: [], arrivals: [], draining: [], refusals: [], isUndisrupted: () => true }

function drainingHistory (sentAtMs: number, overrides: Partial<SignalHistory> = {}): SignalHistory {
  return {
    ...EMPTY_HISTORY,
    attempts: [attempt('before', 0), attempt('told', 1000), attempt('late', sentAtMs)],
    arrivals: [arrival('before', 10), arrival('told', 1010), arrival('late', sentAtMs + 10)],
    draining: [{ instance: 'i-1', fromMs: 500 }],
    ...overrides,
  }
}

test('reports a request to a draining upstream that was sent later than the bound after a response advertised draining', (t) => {
  t.deepEqual(checkSignals(drainingHistory(3000)).violations, [])
  t.is(checkSignals(drainingHistory(3100)).violations.length, 1)
  t.is(checkSignals(drainingHistory(3000)).checkCounts.draining, 1)
  t.is(checkSignals(drainingHistory(3000, { isUndisrupted: () => false })).checkCounts.draining, 0)
  t.deepEqual(checkSignals(drainingHistory(3100, { isUndisrupted: () => false })).violations, [])
})

test('a response that was not forwarded does not count as an advertisement of draining', (t) => {
  const failed = drainingHistory(3100, { attempts: [attempt('told', 1000, 504), attempt('late', 3100)] })
  t.deepEqual(checkSignals(failed).violations, [])
  const elsewhere = drainingHistory(3100, { arrivals: [arrival('told', 1010), arrival('told', 1015, 'i-2'), arrival('late', 3110)] })
  t.deepEqual(checkSignals(elsewhere).violations, [])
})

test('reports more than two requests within a backoff, without those that were in flight when the refusal was sent', (t) => {
  const times = [1000, 1400, 1600, 1700, 2900]
  const historyWith = (moreTimes: readonly number[] = []) => ({
    ...EMPTY_HISTORY,
    attempts: [...times, ...moreTimes].map((atMs) => attempt(`r-${atMs}`, atMs)),
    arrivals: [...times, ...moreTimes].map((atMs) => arrival(`r-${atMs}`, atMs)),
    refusals: [{ instance: 'i-1', waitMs: 1500, fromMs: 900, toMs: 1100 }],
  })
  t.deepEqual(checkSignals(historyWith()).violations, [])
  t.is(checkSignals(historyWith([2000])).violations.length, 1)
  t.deepEqual(checkSignals({ ...historyWith([2000]), isUndisrupted: () => false }).violations, [])
})
