import { BURST_SHAPES, type BurstPhase, type PhaseOutcome, playBurst } from './playBurst.js'

const SEEDS = Array.from({ length: 12 }, (_, i) => i + 1)
const LOST_SHARES = [0, 0.25]

/** Prints what callers get before, in and after a burst of twice the capacity, with and without a quarter of the decode engines lost in it. */
export async function measureOverload (): Promise<void> {
  for (const [name, shape] of Object.entries(BURST_SHAPES)) {
    for (const lostShare of LOST_SHARES) {
      const runs: Record<BurstPhase, PhaseOutcome>[] = []
      for (const seed of SEEDS) runs.push(await playBurst({ ...shape, lostShare }, { seed }))
      console.log(`${name}, ${100 * lostShare}% of the decode engines lost, sum of ${SEEDS.length} seeds`)
      console.table(Object.fromEntries(Object.keys(runs[0]).map((phase) => [phase, sumOf(runs.map((run) => run[phase as BurstPhase]))])))
    }
  }
}

function sumOf (outcomes: readonly PhaseOutcome[]): PhaseOutcome {
  return Object.fromEntries(Object.keys(outcomes[0]).map((key) => [key, Math.round(outcomes.reduce((sum, outcome) => sum + outcome[key as keyof PhaseOutcome], 0))])) as unknown as PhaseOutcome
}
