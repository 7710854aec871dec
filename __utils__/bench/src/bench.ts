import { setTimeout as sleep } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { PickerKind } from '@reelspan/scheduling.owner-alone'
import { PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { SeededRandom } from '@reelspan/utils.fakes'
import { BASELINE_REPORTS } from './baselineReports.js'
import { Condition, impose } from './condition.js'
import { drawLoad, type LoadRequest, type LoadShape, readShape } from './loadShape.js'
import { ProcessFleet } from './processFleet.js'
import { addStats, type EngineStats, readEngineStats } from './readEngineStats.js'
import { readUsage, type Usage } from './readUsage.js'
import { runLoad } from './runLoad.js'
import { type LoadSummary, summarize } from './summarize.js'
import { printTable } from './printTable.js'
import { FLOOD_CLIENT, runVirtualLoad } from './runVirtualLoad.js'
import { upperBound } from './upperBound.js'

/** One run of the bench. */
interface Cell {
  strategy: string
  index: PrefixIndexKind
  admission: boolean
  load: number
  condition: Condition
}

interface CellResult extends Cell {
  summary: LoadSummary
  bound: number
  seconds: number
  engines: EngineStats
  kvShare: number
  usage: Usage
}

interface RunOptions {
  seed: number
  seconds: number
  maxReturns: number
  /** Virtual clock only: load of one more client account, as a part of all others'. */
  floodShare: number
}

const WARM_UP_MS = 6000
const FAULT_AFTER_MS = 2000
const SAMPLE_MS = 500
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
  conditions: { type: 'string', default: Condition.Calm },
  admission: { type: 'string', default: 'true' },
  returns: { type: 'string', default: '0' },
  virtual: { type: 'boolean', default: false },
  flood: { type: 'string', default: '0' },
} as const

/** Runs real boxes against engine stand-ins under load, strategy after strategy, on the same arrivals. */
export async function bench (argv: readonly string[]): Promise<void> {
  const { values } = parseArgs({ args: [...argv], options: OPTIONS })
  const shape = readShape(values.shape)
  const seconds = Number(values.seconds)
  console.log(`shape ${values.shape}, seed ${values.seed}, ${seconds} s measured after ${WARM_UP_MS / 1000} s, load 1 is ${shape.baseRequestsPerSecond} requests a second`)
  const results: CellResult[] = []
  for (const cell of cellsOf(values)) {
    const run = values.virtual ? runVirtualCell : runCell
    const result = await run(cell, shape, { seed: Number(values.seed), seconds, maxReturns: Number(values.returns), floodShare: Number(values.flood) })
    results.push(result)
    printTable(results.length === 1, rowOf(result))
  }
}

function cellsOf (values: { loads: string, strategies: string, indexes: string, conditions: string, admission: string }): Cell[] {
  const list = (text: string) => text.split(',')
  return list(values.conditions).flatMap((condition) =>
    list(values.loads).flatMap((load) =>
      list(values.admission).flatMap((admission) =>
        list(values.indexes).flatMap((index) =>
          list(values.strategies).map((strategy) => ({
            strategy,
            index: index as PrefixIndexKind,
            admission: admission === 'true',
            load: Number(load),
            condition: condition as Condition,
          }))))))
}

async function runCell (cell: Cell, shape: LoadShape, { seed, seconds, maxReturns }: RunOptions): Promise<CellResult> {
  const { strategy, index, admission, load, condition } = cell
  const fleet = await ProcessFleet.start({
    settings: { scheduling: { ...strategy !== 'scheduler' && BASELINE_REPORTS, strategy, prefixIndex: index, admission, countOwn: admission }, log: { level: 'warn' } },
    routeTargets: shape,
  })
  try {
    const durationMs = WARM_UP_MS + seconds * 1000
    const requests = drawLoad(new SeededRandom(seed), shape, { requestsPerSecond: shape.baseRequestsPerSecond * load, durationMs, name: 'r' })
    const addresses = fleet.boxes.map(({ callerAddress }) => callerAddress)
    const measured = measure(fleet, seconds)
    const faulted = impose(condition, fleet, WARM_UP_MS + FAULT_AFTER_MS)
    const outcomes = await runLoad(requests, { addresses, model: shape.model, maxReturns })
    await faulted
    const counted = outcomes.filter((_, i) => requests[i].atMs >= WARM_UP_MS)
    const countedRequests: LoadRequest[] = requests.filter(({ atMs }) => atMs >= WARM_UP_MS)
    return {
      ...cell,
      ...await measured,
      seconds,
      summary: summarize(counted, { ttftMs: shape.ttftTargetMs, tbtMs: shape.tbtTargetMs }),
      bound: upperBound(countedRequests, seconds * 1000, CAPACITY),
    }
  } finally {
    await fleet.stop()
  }
}

async function runVirtualCell (cell: Cell, shape: LoadShape, { seed, seconds, maxReturns, floodShare }: RunOptions): Promise<CellResult> {
  const { requests, outcomes, engines, kvShare } = await runVirtualLoad({
    ...cell,
    shape,
    seed,
    maxReturns,
    requestsPerSecond: shape.baseRequestsPerSecond * cell.load,
    durationMs: WARM_UP_MS + seconds * 1000,
    warmUpMs: WARM_UP_MS,
    faultAfterMs: FAULT_AFTER_MS,
    floodShare,
  })
  return {
    ...cell,
    engines,
    kvShare,
    seconds,
    usage: { cpuPercentMean: 0, cpuPercentMax: 0, peerBytesPerSecondMean: 0 },
    summary: summarize(outcomes.filter(({ client }) => client !== FLOOD_CLIENT), { ttftMs: shape.ttftTargetMs, tbtMs: shape.tbtTargetMs }),
    bound: upperBound(requests, seconds * 1000, CAPACITY),
  }
}

/** Reads counters over the measured part of a run. */
async function measure (fleet: ProcessFleet, seconds: number): Promise<Pick<CellResult, 'engines' | 'kvShare' | 'usage'>> {
  await sleep(WARM_UP_MS)
  const enginesBefore = await readEngineStats(fleet)
  const usageBefore = await readUsage(fleet)
  const kvShares: number[] = []
  const endMs = performance.now() + seconds * 1000
  while (performance.now() < endMs) {
    const { kvBytesUsed, kvBytesTotal } = await readEngineStats(fleet)
    kvShares.push(kvBytesUsed / kvBytesTotal)
    await sleep(SAMPLE_MS)
  }
  const engines = await readEngineStats(fleet)
  return {
    engines: addStats(engines, enginesBefore, -1),
    kvShare: kvShares.reduce((sum, share) => sum + share, 0) / kvShares.length,
    usage: (await readUsage(fleet)).since(usageBefore),
  }
}

function rowOf ({ strategy, index, admission, load, condition, summary, bound, seconds, engines, kvShare, usage }: CellResult): Record<string, string> {
  const wastedShare = engines.prefilledTokens > 0 ? engines.expiredPrefillTokens / engines.prefilledTokens : 0
  return {
    strategy,
    index,
    admission: admission ? 'yes' : 'no',
    load: String(load),
    condition,
    'good/s': (summary.good / seconds).toFixed(1),
    'first try/s': (summary.goodAtFirst / seconds).toFixed(1),
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
    'returns ok': summary.returned > 0 ? `${summary.returnedWell}/${summary.returned}` : '-',
    kv: `${(100 * kvShare).toFixed(0)}%`,
    'box cpu mean/max': `${usage.cpuPercentMean.toFixed(1)}/${usage.cpuPercentMax.toFixed(1)}%`,
    'peer KB/s': (usage.peerBytesPerSecondMean / 1000).toFixed(1),
  }
}
