import { ConcurrencyEstimate, ShortageDetector } from '@reelspan/scheduling.pool-admission'
import { SeededRandom } from '@reelspan/utils.fakes'
import test from 'ava'

interface Phase {
  untilMs: number
  workMs: number
  /** Nothing ends between these times. */
  stall?: readonly [number, number]
}

/** Sends calls to an upstream with a number of slots, always as many as the estimate allows, and returns the limits over time. */
function simulate (slots: number, phases: readonly Phase[]) {
  const estimate = new ConcurrencyEstimate(0, () => true)
  const random = new SeededRandom(3)
  const limits: { atMs: number, limit: number }[] = []
  let calls: { startedAtMs: number, endMs: number, atLimit: boolean }[] = []
  const freeAtMs = Array.from({ length: slots }, () => 0)
  const totalMs = phases[phases.length - 1].untilMs
  for (let nowMs = 0; nowMs < totalMs; nowMs++) {
    const { workMs, stall } = phases.find(({ untilMs }) => nowMs < untilMs) as Phase
    calls.filter(({ endMs }) => endMs <= nowMs).forEach(({ startedAtMs, atLimit }) => estimate.recordAnswer(nowMs - startedAtMs, { startedAtMs, atLimit }, nowMs))
    calls = calls.filter(({ endMs }) => endMs > nowMs)
    while (calls.length < estimate.limit) {
      const slot = freeAtMs.indexOf(Math.min(...freeAtMs))
      const endMs = Math.max(nowMs, freeAtMs[slot]) + workMs * (0.8 + 0.4 * random.nextFloat())
      freeAtMs[slot] = stall && endMs >= stall[0] && nowMs < stall[1] ? Math.max(endMs, stall[1]) : endMs
      calls.push({ startedAtMs: nowMs, endMs: freeAtMs[slot], atLimit: calls.length + 1 >= estimate.limit })
    }
    limits.push({ atMs: nowMs, limit: estimate.limit })
  }
  const mean = (fromMs: number, untilMs = totalMs) => {
    const selected = limits.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs)
    return selected.reduce((sum, { limit }) => sum + limit, 0) / selected.length
  }
  return { mean, estimate }
}

for (const [slots, settledMs] of [[2, 5000], [6, 3000], [40, 6000]]) {
  test(`the limit of an upstream of ${slots} slots keeps them busy with a short queue`, (t) => {
    const mean = simulate(slots, [{ untilMs: 15_000, workMs: 60 }]).mean(settledMs)
    t.log({ slots, mean })
    t.true(mean >= 0.95 * slots && mean <= 1.6 * slots + 1)
  })
}

test('a stall of half a second is not taken for another capacity', (t) => {
  const { mean } = simulate(6, [{ untilMs: 10_000, workMs: 60, stall: [6000, 6500] }])
  t.log({ after: mean(7000, 8000) })
  t.true(mean(7000, 8000) >= 6 && mean(7000, 8000) <= 11)
})

test('an upstream that becomes slower keeps its slots and is known as slower', (t) => {
  const { mean, estimate } = simulate(6, [{ untilMs: 6000, workMs: 60 }, { untilMs: 20_000, workMs: 150 }])
  t.log({ mean: mean(12_000), durationMs: estimate.durationMs })
  t.true(mean(12_000) >= 5.7 && mean(12_000) <= 11)
  t.true((estimate.durationMs ?? 0) > 140)
})

test('a refusal as full lowers the limit, but not for calls that were sent under a higher one', (t) => {
  const estimate = new ConcurrencyEstimate(0, () => true, 20)
  estimate.recordFull(1, 10)
  const { limit } = estimate
  t.true(limit < 20)
  estimate.recordFull(5, 11)
  t.is(estimate.limit, limit)
  t.true(estimate.isPaused(11))
  t.false(estimate.isPaused(111))
})

test('slow calls at several upstreams are a sign of shortage; a stall, one slow upstream or calls that are always slow are not', (t) => {
  const signs = (calls: readonly (readonly [string, number])[], usualMs = 60) => {
    const detector = new ShortageDetector()
    const record = ([upstream, durationMs]: readonly [string, number], i: number) => detector.record(upstream, { durationMs, targetMs: 145, upstreamCount: 4 }, i * 100)
    return [...Array.from({ length: 50 }, () => ['a', usualMs] as const), ...calls].map(record).some(Boolean)
  }
  t.true(signs([['a', 110], ['b', 120], ['a', 110]]))
  t.false(signs([['a', 560], ['b', 60], ['a', 560], ['b', 60]]))
  t.false(signs([['a', 150], ['a', 150], ['a', 150]]))
  t.false(signs([['a', 110], ['b', 120], ['a', 110]], 100))
})
