import { keepLogs, knownSeeds, soak } from '@reelspan/utils.soak'
import test from 'ava'

/** Seeds of every day, beside those that failed once. */
const USUAL_SEEDS = [7]
const SIZE = { boxes: 3, clients: 4, rounds: 1 }
const LIMIT_MS = 180_000

for (const seed of [...USUAL_SEEDS, ...await knownSeeds()]) {
  test.serial(`real boxes keep their promises under faults of seed ${seed}`, async (t) => {
    t.timeout(LIMIT_MS)
    const result = await soak({ seed, ...SIZE })
    const { attempts, faults, violations } = result
    t.log(`seed ${seed}: ${attempts} attempts, faults: ${faults.join('; ')}`)
    if (violations.length > 0) t.log(`logs of the boxes: ${await keepLogs(seed, result)}`)
    t.deepEqual(violations, [])
    t.true(attempts > 100)
  })
}
