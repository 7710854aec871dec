import { readFile } from 'node:fs/promises'
import meow from 'meow'
import { FaultKind } from './faultKind.js'
import { saveLogs } from './saveLogs.js'
import { soak, type SoakResult } from './soak.js'
import { stopFleets } from './soakFleet.js'

const HELP = `
  Usage
    $ npm run soak -- [options]

  Options
    --seed N      First seed (default: taken from the clock; printed with each result)
    --seeds N     Number of consecutive seeds to run (default 1)
    --known       Run the recorded seeds that once failed instead
    --minutes M   Keep running further seeds for this many minutes
    --rounds N    Rounds of faults per seed (default 1)
    --boxes N     Number of boxes (default 6)
    --clients N   Number of clients (default 12)
    --load        End each round with more load than capacity
    --crashes     End each round with a prompt part that crashes engines
    --path-loss   End each round with losses of all paths to upstreams at some boxes
    --held-up-stops  Stop boxes whose processes are held up around the signal, after each round
    --late-refusals  Send each refusal of an engine a second time, late, and let some handles lapse at once
    --silence     Make engines silent beside the faults of each round, and after it
    --kinds A,B   Fault kinds to use instead of random ones (see faultKind.ts)
    --logs DIR    Where to save the logs of failed seeds (default: the folder for temporary files)
`
const KNOWN_SEEDS = new URL('../seeds.json', import.meta.url)
const MAX_VIOLATIONS_SHOWN = 20
const MS_PER_MINUTE = 60_000

/** Runs the `soak` command. Resolves with its exit code. */
export async function main (argv: readonly string[]): Promise<number> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    argv: [...argv],
    flags: {
      seed: { type: 'number' },
      seeds: { type: 'number', default: 1 },
      known: { type: 'boolean', default: false },
      minutes: { type: 'number', default: 0 },
      rounds: { type: 'number', default: 1 },
      boxes: { type: 'number', default: 6 },
      clients: { type: 'number', default: 12 },
      load: { type: 'boolean', default: false },
      crashes: { type: 'boolean', default: false },
      pathLoss: { type: 'boolean', default: false },
      silence: { type: 'boolean', default: false },
      heldUpStops: { type: 'boolean', default: false },
      lateRefusals: { type: 'boolean', default: false },
      kinds: { type: 'string' },
      logs: { type: 'string' },
    },
    allowUnknownFlags: false,
  })
  const firstSeed = flags.seed ?? Date.now() % 1_000_000
  const untilMs = performance.now() + flags.minutes * MS_PER_MINUTE
  const stopFleetsAndExit = () => { void stopFleets().then(() => process.exit(1)) }
  process.once('SIGTERM', stopFleetsAndExit).once('SIGINT', stopFleetsAndExit)
  const kinds = flags.kinds?.split(',').map(parseFaultKind)
  const failedSeeds: number[] = []
  const seeds: KnownSeed[] = flags.known ? await readKnownSeeds() : Array.from({ length: flags.seeds }, (_, i) => ({ seed: firstSeed + i }))
  for (let i = 0; i < seeds.length || performance.now() < untilMs; i++) {
    const { seed, kinds: knownKinds } = seeds[i] ?? { seed: firstSeed + i }
    const result = await soak({ seed, boxes: flags.boxes, clients: flags.clients, rounds: flags.rounds, load: flags.load, crashes: flags.crashes, pathLoss: flags.pathLoss, silence: flags.silence, heldUpStops: flags.heldUpStops, lateRefusals: flags.lateRefusals, kinds: kinds ?? knownKinds })
    if (result.violations.length > 0) failedSeeds.push(seed)
    await reportResult(seed, result, flags.logs)
  }
  console.log(failedSeeds.length > 0 ? `failed seeds: ${failedSeeds.join(', ')}` : 'no violations')
  return failedSeeds.length > 0 ? 1 : 0
}

/** A seed that once failed, with the fault kinds that it drew then. */
export interface KnownSeed {
  seed: number
  kinds?: FaultKind[]
}

export async function readKnownSeeds (): Promise<KnownSeed[]> {
  return JSON.parse(await readFile(KNOWN_SEEDS, 'utf8')) as KnownSeed[]
}

function parseFaultKind (name: string): FaultKind {
  const kind = Object.values(FaultKind).find((known) => known === name)
  if (kind === undefined) throw new Error(`unknown fault kind ${name}; expected one of: ${Object.values(FaultKind).join(', ')}`)
  return kind
}

async function reportResult (seed: number, result: SoakResult, logs?: string): Promise<void> {
  const { attempts, outcomes, takeUps, faults, violations, durationsMs, checkCounts, memory } = result
  console.log(`seed ${seed}: ${attempts} attempts ${JSON.stringify(outcomes)}, streams taken up ${JSON.stringify(takeUps)}, ${faults.length} faults, ${violations.length} violations, checked ${JSON.stringify(checkCounts)}, ${memory.processes} processes with ${memory.pssMb} MB, took ${JSON.stringify(durationsMs)} ms`)
  ;[...result.pathLosses, ...result.crashPhases, ...result.silences, ...result.heldUpStops].forEach((line) => console.log(`  ${line}`))
  if (violations.length === 0) return
  const shownViolations = violations.length > MAX_VIOLATIONS_SHOWN ? [...violations.slice(0, MAX_VIOLATIONS_SHOWN), `and ${violations.length - MAX_VIOLATIONS_SHOWN} more`] : violations
  console.log([...shownViolations, `faults: ${faults.join('; ')}`, `logs of the boxes: ${await saveLogs(seed, result, logs)}`].map((line) => `  ${line}`).join('\n'))
}
