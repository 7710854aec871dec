import { EngineRole } from '@reelspan/upstream.client'
import { type RoleCounts, type RoleLoad, type RolePlan, planRoles, requestsPerMs, RolePlanOutcome } from '@reelspan/upstream.orders'
import test from 'ava'
import fc from 'fast-check'

const LEAST: RoleCounts = { prefill: 1, decode: 1 }
/** Prompts of 100 ms and answers of which an engine bears three a second: three engines in ten should prefill. */
const LOAD: RoleLoad = { prefillMs: 100, decodeMs: 320, arrivalsPerMs: 0.007 }

const loads = fc.record({
  prefillMs: fc.double({ min: 1, max: 2000, noNaN: true }),
  decodeMs: fc.double({ min: 1, max: 5000, noNaN: true }),
  ownPrefillMs: fc.option(fc.double({ min: 1, max: 6000, noNaN: true }), { nil: undefined }),
  arrivalsPerMs: fc.double({ min: 0, max: 20, noNaN: true }),
})
const fleets = fc.record({ prefill: fc.integer({ min: 1, max: 1450 }), decode: fc.integer({ min: 1, max: 1450 }) })

/** Carries out one plan after the other under a steady load, until nothing more changes. */
function settle (first: RoleCounts, load: RoleLoad): { counts: RoleCounts, plans: RolePlan[] } {
  const plans: RolePlan[] = []
  let counts = first
  for (let round = 0; round < 200; round++) {
    const plan = planRoles({ counts, least: LEAST, changing: false, load })
    plans.push(plan)
    if (plan.outcome !== RolePlanOutcome.Change) break
    const moved = plan.from === EngineRole.Prefill ? -plan.count : plan.count
    counts = { prefill: counts.prefill + moved, decode: counts.decode - moved }
  }
  return { counts, plans }
}

test('an engine that reads too little is told to decode, and one that decodes too little to read', (t) => {
  t.like(planRoles({ counts: { prefill: 3, decode: 3 }, least: LEAST, changing: false, load: LOAD }), { outcome: RolePlanOutcome.Change, from: EngineRole.Prefill, count: 1, target: { prefill: 2, decode: 4 } })
  t.like(planRoles({ counts: { prefill: 1, decode: 5 }, least: LEAST, changing: false, load: { ...LOAD, prefillMs: 300 } }), { outcome: RolePlanOutcome.Change, from: EngineRole.Decode, count: 1 })
})

test('nothing changes while nothing is known, while engines change, or soon after they did', (t) => {
  const counts = { prefill: 3, decode: 3 }
  t.is(planRoles({ counts, least: LEAST, changing: false }).outcome, RolePlanOutcome.Unknown)
  t.is(planRoles({ counts, least: LEAST, changing: true, load: LOAD }).outcome, RolePlanOutcome.Settling)
  t.is(planRoles({ counts, least: LEAST, changing: false, load: LOAD, sinceLastChangeMs: 5000 }).outcome, RolePlanOutcome.Settling)
  t.is(planRoles({ counts, least: LEAST, changing: false, load: LOAD, sinceLastChangeMs: 11_000 }).outcome, RolePlanOutcome.Change)
})

test('engines that would bear a burst keep their roles', (t) => {
  t.is(planRoles({ counts: { prefill: 3, decode: 3 }, least: LEAST, changing: false, load: { ...LOAD, arrivalsPerMs: 0.003 } }).outcome, RolePlanOutcome.Enough)
})

test('a change that would cost more while it goes on than it brings is left', (t) => {
  const counts = { prefill: 1, decode: 8 }
  const load = { prefillMs: 100, decodeMs: 10, ownPrefillMs: 125, arrivalsPerMs: 1 }
  // Decode engines read nearly as fast: one less of them for 9 s is more than a quarter of one more for 30 s.
  t.is(planRoles({ counts, least: LEAST, changing: false, load }).outcome, RolePlanOutcome.TooDear)
  t.is(planRoles({ counts, least: LEAST, changing: false, load: { ...load, ownPrefillMs: 200 } }).outcome, RolePlanOutcome.Change)
})

test('what prefill engines cannot read, decode engines read themselves', (t) => {
  t.is(requestsPerMs({ prefill: 0, decode: 4 }, LOAD), 0)
  t.is(requestsPerMs({ prefill: 0, decode: 4 }, { ...LOAD, ownPrefillMs: 200 }), 4 / 520)
  t.is(requestsPerMs({ prefill: 2, decode: 4 }, { ...LOAD, ownPrefillMs: 200 }), requestsPerMs({ prefill: 2, decode: 4 }, LOAD))
})

test('the declared number of engines keeps each role', (t) => {
  const plan = planRoles({ counts: { prefill: 3, decode: 3 }, least: { prefill: 3, decode: 1 }, changing: false, load: LOAD })
  t.is(plan.outcome, RolePlanOutcome.Balanced)
})

test('no plan empties a pool, and few engines change at once', (t) => {
  fc.assert(fc.property(fleets, loads, (counts, load) => {
    const plan = planRoles({ counts, least: LEAST, changing: false, load })
    if (plan.outcome !== RolePlanOutcome.Change || plan.from === undefined) return plan.count === 0
    const left = counts[plan.from] - plan.count
    return left >= 1 && plan.count >= 1 && plan.count <= Math.max(1, counts[plan.from] / 4) && plan.target.prefill >= 1 && plan.target.decode >= 1
  }), { seed: 20, numRuns: 2000 })
  t.pass()
})

test('under a steady load engines change in one direction, and then no more', (t) => {
  fc.assert(fc.property(fleets, loads, (first, load) => {
    const { plans } = settle(first, load)
    const directions = new Set(plans.flatMap(({ from }) => from ?? []))
    return directions.size <= 1 && plans.at(-1)?.outcome !== RolePlanOutcome.Change
  }), { seed: 21, numRuns: 1000 })
  t.pass()
})

test('where the load needs it, engines come to a share that serves 85 in 100 of the most', (t) => {
  fc.assert(fc.property(fleets, loads, (first, load) => {
    const { counts, plans } = settle(first, load)
    if (plans.at(-1)?.outcome !== RolePlanOutcome.Balanced) return true
    const engines = first.prefill + first.decode
    const most = Math.max(...Array.from({ length: engines - 1 }, (_, i) => requestsPerMs({ prefill: i + 1, decode: engines - i - 1 }, load)))
    return requestsPerMs(counts, load) >= 0.85 * most - 1e-12
  }), { seed: 22, numRuns: 300 })
  t.pass()
})
