import { tokensOfText } from '@reelspan/core.hashing'
import { type LoadRequest } from './loadShape.js'

/** Capacity of the prefill and decode engines of a shard. */
export interface PoolCapacity {
  prefillEngines: number
  prefillTokensPerSecond: number
  prefillBaseMs: number
  decodeEngines: number
  /** Concurrency slots of a decode engine. */
  placesPerEngine: number
  decodeStepBaseMs: number
  decodeStepPerRequestMs: number
}

const BLOCK_TOKENS = 64
const MS_PER_SECOND = 1000

/**
 * Returns an upper bound of the number of requests that the engines can serve.
 * It assumes that every shared prefix is cached on every engine from the start,
 * that nothing queues, that all slots are always busy and that the cheapest
 * requests are served first. No scheduling policy can reach it.
 */
export function upperBound (requests: readonly LoadRequest[], durationMs: number, capacity: PoolCapacity): number {
  const prefillMs = requests.map((loadRequest) => {
    const cached = Math.floor(loadRequest.sharedTokens / BLOCK_TOKENS) * BLOCK_TOKENS
    return capacity.prefillBaseMs + (tokensOfText(loadRequest.prompt) - cached) * MS_PER_SECOND / capacity.prefillTokensPerSecond
  })
  const { placesPerEngine, decodeStepBaseMs, decodeStepPerRequestMs } = capacity
  const decodeMsPerToken = (decodeStepBaseMs + decodeStepPerRequestMs * placesPerEngine) / placesPerEngine
  const decodeMs = requests.map(({ answerTokens }) => answerTokens * decodeMsPerToken)
  return Math.min(countAffordable(prefillMs, capacity.prefillEngines * durationMs), countAffordable(decodeMs, capacity.decodeEngines * durationMs))
}

/** Counts how many of the costs fit into a budget, cheapest first. */
function countAffordable (costs: readonly number[], budget: number): number {
  let remaining = budget
  return [...costs].sort((a, b) => a - b).filter((cost) => (remaining -= cost) >= 0).length
}
