import { readFile } from 'node:fs/promises'
import meow from 'meow'
import { FaultKind } from './faults.js'
import { keepLogs } from './keepLogs.js'
import { soak, type SoakResult } from './soak.js'
import { stopFleets } from './soakFleet.js'

const HELP = `
  Usage
    $ npm run soak -- [options]

  Options
    --seed N      The first seed (drawn and printed when left out)
    --seeds N     Seeds in a row, 1 without
    --known       Play the seeds that ever failed, in place of others
    --minutes M   Go on with fresh seeds for so long
    --rounds N    Rounds of faults a seed, 1 without
    --boxes N     Boxes, 6 without
    --clients N   Clients, 12 without
    --kinds A,B   Kinds of faults in place of drawn ones, as faults.ts names them
    --logs DIR    Where logs of failed seeds are kept, the folder for temporary files without
`
const KNOWN_SEEDS = new URL('../seeds.json', import.meta.url)
const MOST_SHOWN = 20
const MS_PER_MINUTE = 60_000

/** The `soak` command. Resolves with its exit code. */
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
      kinds: { type: 'string' },
      logs: { type: 'string' },
    },
    allowUnknownFlags: false,
  })
  const first = flags.seed ?? Date.now() % 1_000_000
  const untilMs = performance.now() + flags.minutes * MS_PER_MINUTE
  const endBoxesToo = () => { void stopFleets().then(() => process.exit(1)) }
  process.once('SIGTERM', endBoxesToo).once('SIGINT', endBoxesToo)
  const kinds = flags.kinds?.split(',').map(faultKindOf)
  const failed: number[] = []
  const seeds: KnownSeed[] = flags.known ? await knownSeeds() : Array.from({ length: flags.seeds }, (_, i) => ({ seed: first + i }))
  for (let i = 0; i < seeds.length || performance.now() < untilMs; i++) {
    const { seed, kinds: knownKinds } = seeds[i] ?? { seed: first + i }
    const result = await soak({ seed, boxes: flags.boxes, clients: flags.clients, rounds: flags.rounds, kinds: kinds ?? knownKinds })
    if (result.violations.length > 0) failed.push(seed)
    await report(seed, result, flags.logs)
  }
  console.log(failed.length > 0 ? `failed seeds: ${failed.join(', ')}` : 'no promise broken')
  return failed.length > 0 ? 1 : 0
}

/** A seed that failed once, and the kinds of faults that it had drawn. */
export interface KnownSeed {
  seed: number
  kinds?: FaultKind[]
}

export async function knownSeeds (): Promise<KnownSeed[]> {
  return JSON.parse(await readFile(KNOWN_SEEDS, 'utf8')) as KnownSeed[]
}

function faultKindOf (name: string): FaultKind {
  const kind = Object.values(FaultKind).find((known) => known === name)
  if (kind === undefined) throw new Error(`no kind of fault is called ${name}: ${Object.values(FaultKind).join(', ')}`)
  return kind
}

async function report (seed: number, result: SoakResult, logs?: string): Promise<void> {
  const { attempts, outcomes, faults, violations, tookMs, judged, memory } = result
  console.log(`seed ${seed}: ${attempts} attempts ${JSON.stringify(outcomes)}, ${faults.length} faults, ${violations.length} violations, judged ${JSON.stringify(judged)}, ${memory.processes} processes with ${memory.sharedOnceMb} MB, took ${JSON.stringify(tookMs)} ms`)
  if (violations.length === 0) return
  const shown = violations.length > MOST_SHOWN ? [...violations.slice(0, MOST_SHOWN), `and ${violations.length - MOST_SHOWN} more`] : violations
  console.log([...shown, `faults: ${faults.join('; ')}`, `logs of the boxes: ${await keepLogs(seed, result, logs)}`].map((line) => `  ${line}`).join('\n'))
}
