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
  state: printStateCosts,
  scheduler: printSchedulerCosts,
  records: printRecordCosts,
  runs: printRunCosts,
  box: printBoxCosts,
  idle: printIdleBoxCosts,
  membership: printMembershipCosts,
}

/** Measures the costs of each part on this machine and prints how they grow with the size of the deployment, with the error of each linear fit. */
export async function slopes (argv: readonly string[]): Promise<void> {
  const { values } = parseArgs({ args: [...argv], options: { parts: { type: 'string', default: Object.keys(PARTS).join(',') } } })
  for (const name of values.parts.split(',')) {
    console.log(`\n## ${name}`)
    await PARTS[name as keyof typeof PARTS]()
  }
}

async function printStateCosts (): Promise<void> {
  console.log(`${measurePrefixEntry().toFixed(0)} bytes of heap per prefix entry, ${measureWatch().toFixed(0)} bytes per waiting watch`)
  const points = ROUTE_COUNTS.map((routes) => ({ x: routes, y: measureChange(routes) }))
  points.forEach(({ x, y }) => console.log(`a change in a configuration with ${x} routes: ${y.toFixed(0)} µs`))
  printFit('µs per change, by resource', points)
}

async function printMembershipCosts (): Promise<void> {
  for (const count of MEMBER_COUNTS) {
    const cost = await measureMembership(count)
    console.log(`${count} members: ${cost.cpuPercent.toFixed(2)}% of a core and ${(cost.bytesPerSecond / 1000).toFixed(2)} KB/s per node, ${cost.connections.toFixed(1)} outgoing connections per node, a change reaches all nodes in ${cost.propagationMs.toFixed(0)} ms, ${cost.suspected} suspected`)
  }
}

async function printSchedulerCosts (): Promise<void> {
  const points = []
  for (const engines of SCHEDULER_ENGINES) {
    const cost = await measureScheduler(engines)
    console.log(`${engines} engines per pool: ${cost.microsecondsPerReservation.toFixed(0)} µs per reservation, ${(100 * cost.placedShare).toFixed(0)}% placed`)
    points.push({ x: engines, y: cost.microsecondsPerReservation })
  }
  printFit('µs per reservation, by engine', points)
}

async function printRecordCosts (): Promise<void> {
  const costs = RECORD_TOKENS.map(measureRecords)
  costs.forEach((cost) => console.log(`${cost.tokens} tokens: ${cost.heapBytesPerRecord.toFixed(0)} bytes of heap (${cost.countedBytesPerRecord.toFixed(0)} counted) and ${cost.microsecondsPerRecord.toFixed(1)} µs per record`))
  printFit('heap bytes per record, by token', costs.map(({ tokens, heapBytesPerRecord }) => ({ x: tokens, y: heapBytesPerRecord })))
  printFit('µs per record, by token', costs.map(({ tokens, microsecondsPerRecord }) => ({ x: tokens, y: microsecondsPerRecord })))
}

async function printRunCosts (): Promise<void> {
  RUN_COUNTS.map(measureRuns).forEach((cost) =>
    console.log(`${cost.runs} recorded runs: ${cost.heapBytesPerRun.toFixed(0)} bytes of heap and ${cost.microsecondsPerRun.toFixed(1)} µs each, ${cost.microsecondsPerDecision.toFixed(1)} µs per quarantine decision, ${(cost.microsecondsPerJudgement / 1000).toFixed(1)} ms to judge prompt parts, ${cost.microsecondsPerSoundRun.toFixed(1)} µs per answered request while nothing is known`))
}

async function printBoxCosts (): Promise<void> {
  const costs = await measureBox()
  costs.forEach(({ workload, count, tokens, cpuMs }) => console.log(`${count} ${workload}s${workload === 'completion' ? ` of ${tokens} tokens` : ''}: ${cpuMs.toFixed(0)} ms of CPU time, ${(1000 * cpuMs / count).toFixed(0)} µs each`))
  const completions = costs.filter(({ workload }) => workload === 'completion')
  printFit('µs per completion, by token', completions.map(({ tokens, cpuMs, count }) => ({ x: tokens, y: 1000 * cpuMs / count })))
}

async function printIdleBoxCosts (): Promise<void> {
  const points = []
  for (const engines of IDLE_ENGINES) {
    const { cpuPercent } = await measureIdleBox(engines)
    console.log(`${engines} engines: ${cpuPercent.toFixed(2)}% of a core`)
    points.push({ x: engines, y: cpuPercent })
  }
  printFit('% of a core, by engine', points)
}

function printFit (label: string, points: readonly { x: number, y: number }[]): void {
  const { slope, intercept, error } = fitLine(points)
  console.log(`fit: ${intercept.toPrecision(3)} + ${slope.toPrecision(3)} x (${label}); maximum deviation ${(100 * error).toFixed(0)}% of the largest value`)
}
