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

/** Where sums start. */
export const NO_STATS: EngineStats = { prefilledTokens: 0, expiredPrefillTokens: 0, generatedTokens: 0, refusedDecodes: 0, kvBytesUsed: 0, kvBytesTotal: 0 }

/** Asks every engine stand-in that runs for its counters. */
export async function readEngineStats (fleet: ProcessFleet): Promise<EngineStats> {
  const engines = [...fleet.upstreams].filter(([name, { process }]) => !name.startsWith('desk') && process.running && !process.frozen)
  const stats = await Promise.all(engines.map(async ([, { address }]) => {
    const response = await request(`http://${address}/stand-in/stats`)
    return await response.body.json() as EngineStats
  }))
  return stats.reduce((sum, one) => addStats(sum, one), NO_STATS)
}

/** Adds `sign` times the second to the first. */
export function addStats (a: EngineStats, b: EngineStats, sign = 1): EngineStats {
  const keys = Object.keys(NO_STATS) as (keyof EngineStats)[]
  return Object.fromEntries(keys.map((key) => [key, a[key] + sign * b[key]])) as unknown as EngineStats
}
