import { runFuzz } from '@reelspan/utils.fuzz'
import test from 'ava'

/** Fixed seeds, so that CI results are reproducible. `npm run fuzz` runs more of them. */
const SEEDS = [1, 2, 3, 4, 5, 6]
const RUNS_PER_SEED = 4

SEEDS.forEach((seed) => {
  test(`random steps violate no guarantee (seed ${seed})`, async (t) => {
    t.log(`seed ${seed}, ${RUNS_PER_SEED} runs`)
    await t.notThrowsAsync(runFuzz({ seed, runs: RUNS_PER_SEED }))
  })
})
