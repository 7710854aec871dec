import { request } from 'undici'
import { type ProcessFleet } from './processFleet.js'

/** Counters summed over engine stand-ins. */
export interface EngineStats {
  prefilledTokens: number
  /** Prefilled tokens whose result expired before a decode engine fetched it. */
  expiredPrefillTokens: number
  generatedTokens: number
  refusedDecodes: number
  kvBytesUsed: number
  kvBytesTotal: number
}

export const ZERO_STATS: EngineStats = { prefilledTokens: 0, expiredPrefillTokens: 0, generatedTokens: 0, refusedDecodes: 0, kvBytesUsed: 0, kvBytesTotal: 0 }

/** Reads the counters of every running engine stand-in. */
export async function readEngineStats (fleet: ProcessFleet): Promise<EngineStats> {
  const engines = [...fleet.upstreams].filter(([name, { process }]) => !name.startsWith('desk') && process.running && !process.frozen)
  const stats = await Promise.all(engines.map(async ([, { address }]) => {
    const response = await request(`http://${address}/stand-in/stats`)
    return await response.body.json() as EngineStats
  }))
  return stats.reduce((sum, engineStats) => addStats(sum, engineStats), ZERO_STATS)
}

/** Returns `a + sign * b` for each counter. */
export function addStats (a: EngineStats, b: EngineStats, sign = 1): EngineStats {
  const keys = Object.keys(ZERO_STATS) as (keyof EngineStats)[]
  return Object.fromEntries(keys.map((key) => [key, a[key] + sign * b[key]])) as unknown as EngineStats
}
