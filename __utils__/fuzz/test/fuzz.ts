import { runFuzz } from '@reelspan/utils.fuzz'
import test from 'ava'

/** A fixed set, so that CI gives the same verdict every time. `npm run fuzz` goes further. */
const SEEDS = [1, 2, 3, 4, 5, 6]
const RUNS_PER_SEED = 4

SEEDS.forEach((seed) => {
  test(`random steps keep the promises (seed ${seed})`, async (t) => {
    t.log(`seed ${seed}, ${RUNS_PER_SEED} runs`)
    await t.notThrowsAsync(runFuzz({ seed, runs: RUNS_PER_SEED }))
  })
})
