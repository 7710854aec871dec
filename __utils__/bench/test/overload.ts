import test from 'ava'
import { BURST_SHAPES, BurstPhase, type PhaseOutcome, measureScheduler, playBurst } from '@reelspan/utils.bench'

const SEEDS = [1, 2, 3]

async function playAll (shape: string, lostShare: number): Promise<Record<BurstPhase, PhaseOutcome>[]> {
  const runs: Record<BurstPhase, PhaseOutcome>[] = []
  for (const seed of SEEDS) runs.push(await playBurst({ ...BURST_SHAPES[shape], lostShare }, { seed }))
  return runs
}

function sum (runs: readonly Record<BurstPhase, PhaseOutcome>[], field: keyof PhaseOutcome, phases: readonly BurstPhase[] = Object.values(BurstPhase)): number {
  return runs.reduce((total, run) => total + phases.reduce((phaseSum, phase) => phaseSum + run[phase][field], 0), 0)
}

Object.keys(BURST_SHAPES).forEach((shape) => {
  test(`${shape}: in a burst of twice the capacity, promises are honoured, nothing is refused with half of the slots free, and little time is held in vain`, async (t) => {
    const runs = await playAll(shape, 0)
    t.is(sum(runs, 'promisesBroken'), 0)
    t.is(sum(runs, 'refusedIdle'), 0)
    t.is(sum(runs, 'refusedFree'), 0, 'refused while a slot was free')
    // A slot can become free sooner than forecast: 2 of 3,797 first refusals in 12 seeds of all pools.
    t.true(sum(runs, 'refusedWithRoom') <= 2, 'refused though a slot was free in time')
    t.true(sum(runs, 'inTime', [BurstPhase.Before]) >= 0.99 * sum(runs, 'callers', [BurstPhase.Before]))
    const meanHeldMs = sum(runs, 'heldInVainMs') / sum(runs, 'refusedFirst')
    t.true(meanHeldMs < 250, `${meanHeldMs.toFixed(0)} ms held in vain for each refused caller`)
  })

  test(`${shape}: with a quarter of the decode engines lost in the burst, promises are honoured and the pool recovers`, async (t) => {
    const runs = await playAll(shape, 0.25)
    t.is(sum(runs, 'promisesBroken'), 0)
    t.is(sum(runs, 'refusedIdle'), 0)
    t.true(sum(runs, 'inTime', [BurstPhase.End]) >= 0.8 * sum(runs, 'callers', [BurstPhase.End]))
  })
})

test('requests about to be useless do not keep the others from free engines: 32 engines per pool, 384 requests per second', async (t) => {
  // 0.50 when only the first three requests in order were tried, because these were always about to be useless.
  const { placedShare } = await measureScheduler(32)
  t.true(placedShare > 0.7, `${placedShare} placed`)
})
