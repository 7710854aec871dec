import { setTimeout as sleep } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { PickerKind } from '@reelspan/scheduling.owner-alone'
import { PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { SeededRandom } from '@reelspan/utils.fakes'
import { BASELINE_REPORT_SETTINGS } from './baselineReports.js'
import { Condition, injectFault } from './condition.js'
import { generateLoad, type LoadRequest, type LoadShape, readShape } from './loadShape.js'
import { ProcessFleet } from './processFleet.js'
import { addStats, type EngineStats, readEngineStats } from './readEngineStats.js'
import { type FleetUsage, readUsage } from './readUsage.js'
import { runLoad } from './runLoad.js'
import { type LoadSummary, summarize } from './summarize.js'
import { printTable } from './printTable.js'
import { FLOOD_CLIENT, runVirtualLoad } from './runVirtualLoad.js'
import { upperBound } from './upperBound.js'

/** Parameters that differ between the runs of the benchmark. */
interface BenchCase {
  strategy: string
  index: PrefixIndexKind
  admission: boolean
  load: number
  condition: Condition
}

interface BenchResult extends BenchCase {
  summary: LoadSummary
  /** Upper bound of the number of requests that the engines can serve. */
  bound: number
  seconds: number
  engines: EngineStats
  /** Mean share of the engines' KV memory in use. */
  kvShare: number
  usage: FleetUsage
}

interface RunOptions {
  seed: number
  seconds: number
  maxRetries: number
  /** Load of an additional client account, as a share of the load of all others. Virtual clock only. */
  floodShare: number
}

const WARM_UP_MS = 6000
const FAULT_DELAY_MS = 2000
const SAMPLE_PERIOD_MS = 500
const CAPACITY = {
  prefillEngines: 3,
  prefillTokensPerSecond: 8000,
  prefillBaseMs: 5,
  decodeEngines: 5,
  placesPerEngine: 20,
  decodeStepBaseMs: 25,
  decodeStepPerRequestMs: 2,
}

const OPTIONS = {
  shape: { type: 'string', default: 'tuul' },
  seed: { type: 'string', default: '42' },
  seconds: { type: 'string', default: '12' },
  loads: { type: 'string', default: '1,1.2,1.5' },
  strategies: { type: 'string', default: ['scheduler', ...Object.values(PickerKind)].join(',') },
  indexes: { type: 'string', default: PrefixIndexKind.Events },
  conditions: { type: 'string', default: Condition.NoFault },
  admission: { type: 'string', default: 'true' },
  returns: { type: 'string', default: '0' },
  virtual: { type: 'boolean', default: false },
  flood: { type: 'string', default: '0' },
} as const

/** Runs boxes and engine stand-ins under load, once per combination of the options, each time with the same requests. */
export async function bench (argv: readonly string[]): Promise<void> {
  const { values } = parseArgs({ args: [...argv], options: OPTIONS })
  const shape = readShape(values.shape)
  const seconds = Number(values.seconds)
  console.log(`shape ${values.shape}, seed ${values.seed}, ${seconds} s measured after ${WARM_UP_MS / 1000} s of warm-up, load 1 is ${shape.baseRequestsPerSecond} requests per second`)
  const results: BenchResult[] = []
  for (const benchCase of listCases(values)) {
    const run = values.virtual ? runOnVirtualClock : runOnProcesses
    const result = await run(benchCase, shape, { seed: Number(values.seed), seconds, maxRetries: Number(values.returns), floodShare: Number(values.flood) })
    results.push(result)
    printTable(results.length === 1, toRow(result))
  }
}

function listCases (values: { loads: string, strategies: string, indexes: string, conditions: string, admission: string }): BenchCase[] {
  const splitList = (text: string) => text.split(',')
  return splitList(values.conditions).flatMap((condition) =>
    splitList(values.loads).flatMap((load) =>
      splitList(values.admission).flatMap((admission) =>
        splitList(values.indexes).flatMap((index) =>
          splitList(values.strategies).map((strategy) => ({
            strategy,
            index: index as PrefixIndexKind,
            admission: admission === 'true',
            load: Number(load),
            condition: condition as Condition,
          }))))))
}

async function runOnProcesses (benchCase: BenchCase, shape: LoadShape, { seed, seconds, maxRetries }: RunOptions): Promise<BenchResult> {
  const { strategy, index, admission, load, condition } = benchCase
  const fleet = await ProcessFleet.start({
    settings: { scheduling: { ...strategy !== 'scheduler' && BASELINE_REPORT_SETTINGS, strategy, prefixIndex: index, admission, countOwn: admission }, log: { level: 'warn' } },
    routeTargets: shape,
  })
  try {
    const durationMs = WARM_UP_MS + seconds * 1000
    const requests = generateLoad(new SeededRandom(seed), shape, { requestsPerSecond: shape.baseRequestsPerSecond * load, durationMs, name: 'r' })
    const addresses = fleet.boxes.map(({ callerAddress }) => callerAddress)
    const measured = sampleFleet(fleet, seconds)
    const faultInjected = injectFault(condition, fleet, WARM_UP_MS + FAULT_DELAY_MS)
    const outcomes = await runLoad(requests, { addresses, model: shape.model, maxRetries })
    await faultInjected
    const countedOutcomes = outcomes.filter((_, i) => requests[i].atMs >= WARM_UP_MS)
    const countedRequests: LoadRequest[] = requests.filter(({ atMs }) => atMs >= WARM_UP_MS)
    return {
      ...benchCase,
      ...await measured,
      seconds,
      summary: summarize(countedOutcomes, { ttftMs: shape.ttftTargetMs, tbtMs: shape.tbtTargetMs }),
      bound: upperBound(countedRequests, seconds * 1000, CAPACITY),
    }
  } finally {
    await fleet.stop()
  }
}

async function runOnVirtualClock (benchCase: BenchCase, shape: LoadShape, { seed, seconds, maxRetries, floodShare }: RunOptions): Promise<BenchResult> {
  const { requests, outcomes, engines, kvShare } = await runVirtualLoad({
    ...benchCase,
    shape,
    seed,
    maxRetries,
    requestsPerSecond: shape.baseRequestsPerSecond * benchCase.load,
    durationMs: WARM_UP_MS + seconds * 1000,
    warmUpMs: WARM_UP_MS,
    faultDelayMs: FAULT_DELAY_MS,
    floodShare,
  })
  return {
    ...benchCase,
    engines,
    kvShare,
    seconds,
    usage: { cpuPercentMean: 0, cpuPercentMax: 0, peerBytesPerSecondMean: 0 },
    summary: summarize(outcomes.filter(({ client }) => client !== FLOOD_CLIENT), { ttftMs: shape.ttftTargetMs, tbtMs: shape.tbtTargetMs }),
    bound: upperBound(requests, seconds * 1000, CAPACITY),
  }
}

/** Reads the fleet's counters and KV memory use during the measured part of a run. */
async function sampleFleet (fleet: ProcessFleet, seconds: number): Promise<Pick<BenchResult, 'engines' | 'kvShare' | 'usage'>> {
  await sleep(WARM_UP_MS)
  const enginesBefore = await readEngineStats(fleet)
  const usageBefore = await readUsage(fleet)
  const kvShares: number[] = []
  const endMs = performance.now() + seconds * 1000
  while (performance.now() < endMs) {
    const { kvBytesUsed, kvBytesTotal } = await readEngineStats(fleet)
    kvShares.push(kvBytesUsed / kvBytesTotal)
    await sleep(SAMPLE_PERIOD_MS)
  }
  const engines = await readEngineStats(fleet)
  return {
    engines: addStats(engines, enginesBefore, -1),
    kvShare: kvShares.reduce((sum, share) => sum + share, 0) / kvShares.length,
    usage: (await readUsage(fleet)).since(usageBefore),
  }
}

function toRow ({ strategy, index, admission, load, condition, summary, bound, seconds, engines, kvShare, usage }: BenchResult): Record<string, string> {
  const wastedShare = engines.prefilledTokens > 0 ? engines.expiredPrefillTokens / engines.prefilledTokens : 0
  return {
    strategy,
    index,
    admission: admission ? 'yes' : 'no',
    load: String(load),
    condition,
    'good/s': (summary.good / seconds).toFixed(1),
    'first try/s': (summary.goodOnFirstTry / seconds).toFixed(1),
    'of bound': (summary.good / bound).toFixed(2),
    sent: String(summary.sent),
    finished: String(summary.finished),
    refused: String(summary.refused),
    mayHaveRun: String(summary.mayHaveRun),
    wrong: String(summary.wrong),
    'wasted tokens': `${engines.expiredPrefillTokens} (${(100 * wastedShare).toFixed(2)}%)`,
    'ttft p50/p95': `${summary.ttftP50Ms.toFixed(0)}/${summary.ttftP95Ms.toFixed(0)}`,
    'tbt p50/p95': `${summary.tbtP50Ms.toFixed(0)}/${summary.tbtP95Ms.toFixed(0)}`,
    'refusal p95': summary.refusalP95Ms.toFixed(0),
    'returns ok': summary.retried > 0 ? `${summary.finishedOnFirstRetry}/${summary.retried}` : '-',
    kv: `${(100 * kvShare).toFixed(0)}%`,
    'box cpu mean/max': `${usage.cpuPercentMean.toFixed(1)}/${usage.cpuPercentMax.toFixed(1)}%`,
    'peer KB/s': (usage.peerBytesPerSecondMean / 1000).toFixed(1),
  }
}
