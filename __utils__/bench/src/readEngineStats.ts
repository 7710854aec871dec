import { request } from 'undici'
import { type ProcessFleet } from './processFleet.js'

/** Sums over the engine stand-ins. */
export interface EngineStats {
  prefilledTokens: number
  /** Prefilled tokens whose result expired before a decode engine took it. */
  expiredPrefillTokens: number
  generatedTokens: number
  refusedDecodes: number
  kvBytesUsed: number
  kvBytesTotal: number
}

const NONE: EngineStats = { prefilledTokens: 0, expiredPrefillTokens: 0, generatedTokens: 0, refusedDecodes: 0, kvBytesUsed: 0, kvBytesTotal: 0 }

/** Asks every engine stand-in that runs for its counters. */
export async function readEngineStats (fleet: ProcessFleet): Promise<EngineStats> {
  const engines = [...fleet.upstreams].filter(([name, { process }]) => !name.startsWith('desk') && process.running)
  const stats = await Promise.all(engines.map(async ([, { address }]) => {
    const response = await request(`http://${address}/stand-in/stats`)
    return await response.body.json() as EngineStats
  }))
  return stats.reduce((sum, one) => addStats(sum, one), NONE)
}

function addStats (a: EngineStats, b: EngineStats): EngineStats {
  const keys = Object.keys(NONE) as (keyof EngineStats)[]
  return Object.fromEntries(keys.map((key) => [key, a[key] + b[key]])) as unknown as EngineStats
}
