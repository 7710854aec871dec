import { keepLogs, type KnownSeed, knownSeeds, soak } from '@reelspan/utils.soak'
import test, { type ExecutionContext } from 'ava'

/** Seeds of every day, beside those that failed once. */
const USUAL_SEEDS: KnownSeed[] = [{ seed: 7 }]
const SIZE = { boxes: 3, clients: 6, rounds: 1 }
const LIMIT_MS = 180_000
/** Runs that share the machine, so that all seeds take a minute or two. */
const RUNS_AT_ONCE = 3

const seeds = [...USUAL_SEEDS, ...await knownSeeds()]
const groups = Array.from({ length: Math.ceil(seeds.length / RUNS_AT_ONCE) }, (_, i) => seeds.slice(i * RUNS_AT_ONCE, (i + 1) * RUNS_AT_ONCE))

groups.forEach((group) => {
  test.serial(`real boxes keep their promises under faults of seed ${group.map(({ seed }) => seed).join(', and of seed ')}`, async (t) => {
    t.timeout(LIMIT_MS)
    const found = await Promise.all(group.map((known) => playSeed(t, known)))
    t.deepEqual(found.flat(), [])
  })
})

async function playSeed (t: ExecutionContext, { seed, kinds }: KnownSeed): Promise<string[]> {
  const result = await soak({ seed, kinds, ...SIZE })
  const { attempts, faults, violations, judged } = result
  t.log(`seed ${seed}: ${attempts} attempts, judged ${JSON.stringify(judged)}, faults: ${faults.join('; ')}`)
  if (violations.length > 0) t.log(`logs of the boxes: ${await keepLogs(seed, result)}`)
  t.true(attempts > 100, `seed ${seed}`)
  return violations.map((violation) => `seed ${seed}: ${violation}`)
}
