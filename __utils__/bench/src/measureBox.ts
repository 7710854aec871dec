import { setTimeout as sleep } from 'node:timers/promises'
import { UpstreamKind } from '@reelspan/config.fleet'
import { promptFor } from '@reelspan/utils.fakes'
import { Agent, request } from 'undici'
import { ProcessFleet } from './processFleet.js'
import { readCpuMs } from './readUsage.js'

/** CPU time that the process of one box used for a workload. */
export interface BoxCost {
  workload: string
  count: number
  /** Tokens of each answer. 0 for workloads other than completions. */
  tokens: number
  cpuMs: number
}

const REQUESTS = 200
const CONCURRENCY = 20
const ANSWER_TOKENS = [1, 50, 100, 200]
const LOOKUPS = 3000
const CALLS = 1000
const IDLE_MEASURE_MS = 8000
const MODEL = 'draft'

/** Measures the CPU time of one box for lookups, service calls, completions and their tokens. Engines are fast, so that they do not limit the load. */
export async function measureBox (): Promise<BoxCost[]> {
  const fleet = await startSmallFleet(2)
  const agent = new Agent({ connections: CONCURRENCY })
  try {
    const costs: BoxCost[] = []
    const [{ callerAddress, process }] = fleet.boxes
    const measureCpuMs = async (workload: string, count: number, tokens: number, work: (i: number) => Promise<void>) => {
      const cpuMsBefore = await readCpuMs(process.pid)
      await runConcurrently(count, work)
      costs.push({ workload, count, tokens, cpuMs: await readCpuMs(process.pid) - cpuMsBefore })
    }
    const send = (path: string, body?: string) => async () => {
      const response = await request(`http://${callerAddress}${path}`, { dispatcher: agent, method: body === undefined ? 'GET' : 'POST', body })
      await response.body.dump()
    }
    await runConcurrently(REQUESTS, sendCompletion(callerAddress, agent, 50))
    await measureCpuMs('lookup', LOOKUPS, 0, send('/v1/lookup'))
    await measureCpuMs('call', CALLS, 0, send('/desk', 'x'))
    for (const tokens of ANSWER_TOKENS) await measureCpuMs('completion', REQUESTS, tokens, sendCompletion(callerAddress, agent, tokens))
    return costs
  } finally {
    await agent.destroy()
    await fleet.stop()
  }
}

/** Measures the CPU usage of one idle box that schedules the given number of engines. */
export async function measureIdleBox (engines: number): Promise<{ engines: number, cpuPercent: number }> {
  const fleet = await startSmallFleet(engines)
  try {
    const [{ process }] = fleet.boxes
    await sleep(3000)
    const cpuMsBefore = await readCpuMs(process.pid)
    await sleep(IDLE_MEASURE_MS)
    return { engines, cpuPercent: 100 * (await readCpuMs(process.pid) - cpuMsBefore) / IDLE_MEASURE_MS }
  } finally {
    await fleet.stop()
  }
}

function startSmallFleet (engines: number): Promise<ProcessFleet> {
  const upstream = (name: string, kind: UpstreamKind, pool: string) => ({ name, kind, pool, availabilityZone: 'hall-a' })
  const engineNumbers = Array.from({ length: engines / 2 }, (_, i) => i + 1)
  return ProcessFleet.start({
    serviceWorkMs: 1,
    settings: { log: { level: 'warn' }, requests: { recordBytes: 500_000_000 } },
    engine: { decodeStepBaseMs: 4, decodeStepPerRequestMs: 0, prefillBaseMs: 1, prefillTokensPerSecond: 1_000_000, placesTotal: 64, kvBytesTotal: 4e10 },
    routeTargets: { ttftTargetMs: 5000, tbtTargetMs: 500 },
    deployment: {
      boxes: [{ name: 'box-1', availabilityZone: 'hall-a' }],
      upstreams: [
        ...engineNumbers.map((i) => upstream(`prefill-${i}`, UpstreamKind.Engine, 'draft-prefill')),
        ...engineNumbers.map((i) => upstream(`decode-${i}`, UpstreamKind.Engine, 'draft-decode')),
        upstream('desk-1', UpstreamKind.Service, 'script-desk'),
      ],
    },
  })
}

function sendCompletion (address: string, agent: Agent, answerTokens: number): (i: number) => Promise<void> {
  return async (i) => {
    const prompt = promptFor(`s${i}`, { shared: 'shared '.repeat(600), answerTokens })
    const response = await request(`http://${address}/v1/completions`, { dispatcher: agent, method: 'POST', body: JSON.stringify({ model: MODEL, prompt, max_tokens: answerTokens, stream: true }) })
    await response.body.dump({ limit: Number.MAX_SAFE_INTEGER })
  }
}

async function runConcurrently (count: number, work: (i: number) => Promise<void>): Promise<void> {
  const indexes = Array.from({ length: count }, (_, i) => i)
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    for (let i = indexes.pop(); i !== undefined; i = indexes.pop()) await work(i)
  }))
}
