import { EngineRole } from '@reelspan/upstream.client'
import { type RoleCounts, type RoleLoad, type RolePlan, planRoles, requestsPerMs, RolePlanOutcome } from '@reelspan/upstream.orders'
import test from 'ava'
import fc from 'fast-check'

const LEAST: RoleCounts = { prefill: 1, decode: 1 }
/** Prompts of 100 ms, and about three answers per second and engine: three engines in ten should prefill. */
const LOAD: RoleLoad = { prefillMs: 100, decodeMs: 320, arrivalsPerMs: 0.007 }

const loads = fc.record({
  prefillMs: fc.double({ min: 1, max: 2000, noNaN: true }),
  decodeMs: fc.double({ min: 1, max: 5000, noNaN: true }),
  ownPrefillMs: fc.option(fc.double({ min: 1, max: 6000, noNaN: true }), { nil: undefined }),
  arrivalsPerMs: fc.double({ min: 0, max: 20, noNaN: true }),
})
const fleets = fc.record({ prefill: fc.integer({ min: 1, max: 1450 }), decode: fc.integer({ min: 1, max: 1450 }) })

/** Applies plans under a steady load until no engine changes any more. */
function settle (first: RoleCounts, load: RoleLoad): { counts: RoleCounts, plans: RolePlan[] } {
  const plans: RolePlan[] = []
  let counts = first
  for (let round = 0; round < 200; round++) {
    const plan = planRoles({ counts, minimum: LEAST, changing: false, load })
    plans.push(plan)
    if (plan.outcome !== RolePlanOutcome.Change) break
    const moved = plan.from === EngineRole.Prefill ? -plan.count : plan.count
    counts = { prefill: counts.prefill + moved, decode: counts.decode - moved }
  }
  return { counts, plans }
}

test('an engine changes to decode if prefill has spare capacity, and to prefill if decode has', (t) => {
  t.like(planRoles({ counts: { prefill: 3, decode: 3 }, minimum: LEAST, changing: false, load: LOAD }), { outcome: RolePlanOutcome.Change, from: EngineRole.Prefill, count: 1, target: { prefill: 2, decode: 4 } })
  t.like(planRoles({ counts: { prefill: 1, decode: 5 }, minimum: LEAST, changing: false, load: { ...LOAD, prefillMs: 300 } }), { outcome: RolePlanOutcome.Change, from: EngineRole.Decode, count: 1 })
})

test('no engine changes while the load is unknown, while engines change, or soon after a change', (t) => {
  const counts = { prefill: 3, decode: 3 }
  t.is(planRoles({ counts, minimum: LEAST, changing: false }).outcome, RolePlanOutcome.Unknown)
  t.is(planRoles({ counts, minimum: LEAST, changing: true, load: LOAD }).outcome, RolePlanOutcome.Settling)
  t.is(planRoles({ counts, minimum: LEAST, changing: false, load: LOAD, sinceLastChangeMs: 5000 }).outcome, RolePlanOutcome.Settling)
  t.is(planRoles({ counts, minimum: LEAST, changing: false, load: LOAD, sinceLastChangeMs: 11_000 }).outcome, RolePlanOutcome.Change)
})

test('engines with capacity for a burst keep their roles', (t) => {
  t.is(planRoles({ counts: { prefill: 3, decode: 3 }, minimum: LEAST, changing: false, load: { ...LOAD, arrivalsPerMs: 0.003 } }).outcome, RolePlanOutcome.Sufficient)
})

test('a change that costs more capacity than it gains is not made', (t) => {
  const counts = { prefill: 1, decode: 8 }
  const load = { prefillMs: 100, decodeMs: 10, ownPrefillMs: 125, arrivalsPerMs: 1 }
  // Decode engines prefill nearly as fast: losing one for 9 s costs more than gaining a quarter of one for 30 s.
  t.is(planRoles({ counts, minimum: LEAST, changing: false, load }).outcome, RolePlanOutcome.TooCostly)
  t.is(planRoles({ counts, minimum: LEAST, changing: false, load: { ...load, ownPrefillMs: 200 } }).outcome, RolePlanOutcome.Change)
})

test('decode engines prefill the prompts beyond the capacity of the prefill engines', (t) => {
  t.is(requestsPerMs({ prefill: 0, decode: 4 }, LOAD), 0)
  t.is(requestsPerMs({ prefill: 0, decode: 4 }, { ...LOAD, ownPrefillMs: 200 }), 4 / 520)
  t.is(requestsPerMs({ prefill: 2, decode: 4 }, { ...LOAD, ownPrefillMs: 200 }), requestsPerMs({ prefill: 2, decode: 4 }, LOAD))
})

test('each role keeps its minimum number of engines', (t) => {
  const plan = planRoles({ counts: { prefill: 3, decode: 3 }, minimum: { prefill: 3, decode: 1 }, changing: false, load: LOAD })
  t.is(plan.outcome, RolePlanOutcome.Balanced)
})

test('no plan empties a pool, and few engines change at once', (t) => {
  fc.assert(fc.property(fleets, loads, (counts, load) => {
    const plan = planRoles({ counts, minimum: LEAST, changing: false, load })
    if (plan.outcome !== RolePlanOutcome.Change || plan.from === undefined) return plan.count === 0
    const left = counts[plan.from] - plan.count
    return left >= 1 && plan.count >= 1 && plan.count <= Math.max(1, counts[plan.from] / 4) && plan.target.prefill >= 1 && plan.target.decode >= 1
  }), { seed: 20, numRuns: 2000 })
  t.pass()
})

test('under a steady load engines change in one direction only, and changes end', (t) => {
  fc.assert(fc.property(fleets, loads, (first, load) => {
    const { plans } = settle(first, load)
    const directions = new Set(plans.flatMap(({ from }) => from ?? []))
    return directions.size <= 1 && plans.at(-1)?.outcome !== RolePlanOutcome.Change
  }), { seed: 21, numRuns: 1000 })
  t.pass()
})

test('if the load needs it, engines reach a split that serves 85% of the maximum', (t) => {
  fc.assert(fc.property(fleets, loads, (first, load) => {
    const { counts, plans } = settle(first, load)
    if (plans.at(-1)?.outcome !== RolePlanOutcome.Balanced) return true
    const engines = first.prefill + first.decode
    const most = Math.max(...Array.from({ length: engines - 1 }, (_, i) => requestsPerMs({ prefill: i + 1, decode: engines - i - 1 }, load)))
    return requestsPerMs(counts, load) >= 0.85 * most - 1e-12
  }), { seed: 22, numRuns: 300 })
  t.pass()
})
