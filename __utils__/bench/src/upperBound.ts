import { tokensOfText } from '@reelspan/core.hashing'
import { type LoadRequest } from './loadShape.js'

/** What a pool of engines can do. */
export interface PoolCapacity {
  prefillEngines: number
  prefillTokensPerSecond: number
  prefillBaseMs: number
  decodeEngines: number
  placesPerEngine: number
  decodeStepBaseMs: number
  decodeStepPerRequestMs: number
}

const BLOCK_TOKENS = 64
const MS_PER_SECOND = 1000

/**
 * Requests that nobody could serve more of: each shared prefix cached
 * everywhere from the start, no queue, every place busy all the time, the
 * cheapest requests first. No policy can reach it.
 */
export function upperBound (requests: readonly LoadRequest[], durationMs: number, capacity: PoolCapacity): number {
  const prefillMs = requests.map((one) => {
    const cached = Math.floor(one.sharedTokens / BLOCK_TOKENS) * BLOCK_TOKENS
    return capacity.prefillBaseMs + (tokensOfText(one.prompt) - cached) * MS_PER_SECOND / capacity.prefillTokensPerSecond
  })
  const { placesPerEngine, decodeStepBaseMs, decodeStepPerRequestMs } = capacity
  const stepShareMs = (decodeStepBaseMs + decodeStepPerRequestMs * placesPerEngine) / placesPerEngine
  const decodeMs = requests.map(({ answerTokens }) => answerTokens * stepShareMs)
  return Math.min(fitting(prefillMs, capacity.prefillEngines * durationMs), fitting(decodeMs, capacity.decodeEngines * durationMs))
}

/** How many of the cheapest costs fit into a budget. */
function fitting (costs: readonly number[], budget: number): number {
  let left = budget
  return [...costs].sort((a, b) => a - b).filter((cost) => (left -= cost) >= 0).length
}
