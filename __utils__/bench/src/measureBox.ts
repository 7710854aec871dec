import { setTimeout as sleep } from 'node:timers/promises'
import { UpstreamKind } from '@reelspan/config.fleet'
import { promptFor } from '@reelspan/utils.fakes'
import { Agent, request } from 'undici'
import { ProcessFleet } from './processFleet.js'
import { readCpuMs } from './readUsage.js'

/** Processor time of one box, real process, for one kind of work. */
export interface BoxCost {
  what: string
  count: number
  /** For requests: tokens of each answer. */
  tokens: number
  milliseconds: number
}

const REQUESTS = 200
const PARALLEL = 20
const ANSWER_TOKENS = [1, 50, 100, 200]
const LOOKUPS = 3000
const CALLS = 1000
const IDLE_MS = 8000
const MODEL = 'draft'

/** Measures what one box spends on lookups, calls to services, completions and their tokens. Engines are fast, so that the box is what is measured. */
export async function measureBox (): Promise<BoxCost[]> {
  const fleet = await startSmallFleet(2)
  const agent = new Agent({ connections: PARALLEL })
  try {
    const costs: BoxCost[] = []
    const [{ callerAddress, process }] = fleet.boxes
    const spend = async (what: string, count: number, tokens: number, work: (i: number) => Promise<void>) => {
      const before = await readCpuMs(process.pid)
      await inParallel(count, work)
      costs.push({ what, count, tokens, milliseconds: await readCpuMs(process.pid) - before })
    }
    const send = (path: string, body?: string) => async () => {
      const response = await request(`http://${callerAddress}${path}`, { dispatcher: agent, method: body === undefined ? 'GET' : 'POST', body })
      await response.body.dump()
    }
    await inParallel(REQUESTS, complete(callerAddress, agent, 50))
    await spend('lookup', LOOKUPS, 0, send('/v1/lookup'))
    await spend('call', CALLS, 0, send('/desk', 'x'))
    for (const tokens of ANSWER_TOKENS) await spend('completion', REQUESTS, tokens, complete(callerAddress, agent, tokens))
    return costs
  } finally {
    await agent.destroy()
    await fleet.stop()
  }
}

/** Processor time in percent, and peer bytes, of one idle box that looks after so many engines. */
export async function measureIdleBox (engines: number): Promise<{ engines: number, cpuPercent: number }> {
  const fleet = await startSmallFleet(engines)
  try {
    const [{ process }] = fleet.boxes
    await sleep(3000)
    const before = await readCpuMs(process.pid)
    await sleep(IDLE_MS)
    return { engines, cpuPercent: 100 * (await readCpuMs(process.pid) - before) / IDLE_MS }
  } finally {
    await fleet.stop()
  }
}

function startSmallFleet (engines: number): Promise<ProcessFleet> {
  const upstream = (name: string, kind: UpstreamKind, pool: string) => ({ name, kind, pool, availabilityZone: 'hall-a' })
  const half = Array.from({ length: engines / 2 }, (_, i) => i + 1)
  return ProcessFleet.start({
    serviceWorkMs: 1,
    settings: { log: { level: 'warn' }, requests: { recordBytes: 500_000_000 } },
    engine: { decodeStepBaseMs: 4, decodeStepPerRequestMs: 0, prefillBaseMs: 1, prefillTokensPerSecond: 1_000_000, placesTotal: 64, kvBytesTotal: 4e10 },
    routeTargets: { ttftTargetMs: 5000, tbtTargetMs: 500 },
    deployment: {
      boxes: [{ name: 'box-1', availabilityZone: 'hall-a' }],
      upstreams: [
        ...half.map((i) => upstream(`prefill-${i}`, UpstreamKind.Engine, 'draft-prefill')),
        ...half.map((i) => upstream(`decode-${i}`, UpstreamKind.Engine, 'draft-decode')),
        upstream('desk-1', UpstreamKind.Service, 'script-desk'),
      ],
    },
  })
}

function complete (address: string, agent: Agent, answerTokens: number): (i: number) => Promise<void> {
  return async (i) => {
    const prompt = promptFor(`s${i}`, { shared: 'shared '.repeat(600), answerTokens })
    const response = await request(`http://${address}/v1/completions`, { dispatcher: agent, method: 'POST', body: JSON.stringify({ model: MODEL, prompt, max_tokens: answerTokens, stream: true }) })
    await response.body.dump({ limit: Number.MAX_SAFE_INTEGER })
  }
}

async function inParallel (count: number, work: (i: number) => Promise<void>): Promise<void> {
  const indexes = Array.from({ length: count }, (_, i) => i)
  await Promise.all(Array.from({ length: PARALLEL }, async () => {
    for (let i = indexes.pop(); i !== undefined; i = indexes.pop()) await work(i)
  }))
}
