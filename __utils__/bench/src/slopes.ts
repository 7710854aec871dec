import { parseArgs } from 'node:util'
import { fitLine } from './fitLine.js'
import { measureBox, measureIdleBox } from './measureBox.js'
import { measureMembership } from './measureMembership.js'
import { measureRecords } from './measureRecords.js'
import { measureRuns } from './measureRuns.js'
import { measureScheduler } from './measureScheduler.js'
import { measureChange, measurePrefixEntry, measureWatch } from './measureState.js'

const ROUTE_COUNTS = [20, 100, 400, 1600]
const MEMBER_COUNTS = [8, 50, 200, 690]
const SCHEDULER_ENGINES = [4, 8, 16, 32, 64]
const RECORD_TOKENS = [0, 50, 100, 200]
const IDLE_ENGINES = [2, 8, 16, 32]
const RUN_COUNTS = [100, 500, 2000]

const PARTS = {
  state: slopeOfState,
  scheduler: slopeOfScheduler,
  records: slopeOfRecords,
  runs: slopeOfRuns,
  box: slopeOfBox,
  idle: slopeOfIdleBox,
  membership: slopeOfMembership,
}

/** Measures what each thing costs on this machine and prints the slopes, with the error of each fit. */
export async function slopes (argv: readonly string[]): Promise<void> {
  const { values } = parseArgs({ args: [...argv], options: { parts: { type: 'string', default: Object.keys(PARTS).join(',') } } })
  for (const name of values.parts.split(',')) {
    console.log(`\n## ${name}`)
    await PARTS[name as keyof typeof PARTS]()
  }
}

async function slopeOfState (): Promise<void> {
  console.log(`${measurePrefixEntry().toFixed(0)} bytes of heap a prefix entry, ${measureWatch().toFixed(0)} bytes a waiting watch`)
  const points = ROUTE_COUNTS.map((routes) => ({ x: routes, y: measureChange(routes) }))
  points.forEach(({ x, y }) => console.log(`a change beside ${x} routes: ${y.toFixed(0)} µs`))
  printFit('µs a change, by resource', points)
}

async function slopeOfMembership (): Promise<void> {
  for (const count of MEMBER_COUNTS) {
    const cost = await measureMembership(count)
    console.log(`${count} members: ${cost.cpuPercent.toFixed(2)}% of a core and ${(cost.bytesPerSecond / 1000).toFixed(2)} KB/s a node, ${cost.connections.toFixed(1)} outgoing connections, a change reaches all in ${cost.spreadMs.toFixed(0)} ms, ${cost.suspected} suspected`)
  }
}

async function slopeOfScheduler (): Promise<void> {
  const points = []
  for (const engines of SCHEDULER_ENGINES) {
    const cost = await measureScheduler(engines)
    console.log(`${engines} engines a pool: ${cost.microsecondsPerReservation.toFixed(0)} µs a reservation, ${(100 * cost.placedShare).toFixed(0)}% placed`)
    points.push({ x: engines, y: cost.microsecondsPerReservation })
  }
  printFit('µs a reservation, by engine', points)
}

async function slopeOfRecords (): Promise<void> {
  const costs = RECORD_TOKENS.map(measureRecords)
  costs.forEach((cost) => console.log(`${cost.tokens} tokens: ${cost.heapBytesPerRecord.toFixed(0)} bytes of heap (${cost.countedBytesPerRecord.toFixed(0)} counted), ${cost.microsecondsPerRecord.toFixed(1)} µs`))
  printFit('heap bytes a record, by token', costs.map(({ tokens, heapBytesPerRecord }) => ({ x: tokens, y: heapBytesPerRecord })))
  printFit('µs a record, by token', costs.map(({ tokens, microsecondsPerRecord }) => ({ x: tokens, y: microsecondsPerRecord })))
}

async function slopeOfRuns (): Promise<void> {
  RUN_COUNTS.map(measureRuns).forEach((cost) =>
    console.log(`${cost.runs} ends of runs: ${cost.heapBytesPerRun.toFixed(0)} bytes of heap and ${cost.microsecondsPerRun.toFixed(1)} µs each, ${cost.microsecondsPerJudgement.toFixed(1)} µs a judgement`))
}

async function slopeOfBox (): Promise<void> {
  const costs = await measureBox()
  costs.forEach(({ what, count, tokens, milliseconds }) => console.log(`${count} ${what}s${what === 'completion' ? ` of ${tokens} tokens` : ''}: ${milliseconds.toFixed(0)} ms of processor time, ${(1000 * milliseconds / count).toFixed(0)} µs each`))
  const completions = costs.filter(({ what }) => what === 'completion')
  printFit('µs a completion, by token', completions.map(({ tokens, milliseconds, count }) => ({ x: tokens, y: 1000 * milliseconds / count })))
}

async function slopeOfIdleBox (): Promise<void> {
  const points = []
  for (const engines of IDLE_ENGINES) {
    const { cpuPercent } = await measureIdleBox(engines)
    console.log(`${engines} engines: ${cpuPercent.toFixed(2)}% of a core`)
    points.push({ x: engines, y: cpuPercent })
  }
  printFit('% of a core, by engine looked after', points)
}

function printFit (what: string, points: readonly { x: number, y: number }[]): void {
  const { perUnit, base, error } = fitLine(points)
  console.log(`fit: ${base.toPrecision(3)} + ${perUnit.toPrecision(3)} x (${what}); worst point off by ${(100 * error).toFixed(0)}% of the largest`)
}
