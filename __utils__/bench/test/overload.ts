import test from 'ava'
import { BURST_SHAPES, BurstPhase, type PhaseOutcome, playBurst } from '@reelspan/utils.bench'

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
    t.true(sum(runs, 'refusedWithRoom', [BurstPhase.Ramp, BurstPhase.Peak]) <= 3, 'refused though a slot was free in time')
    t.is(sum(runs, 'refusedWithRoom', [BurstPhase.End]), 0, 'refused at the end of the burst with a slot free')
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
