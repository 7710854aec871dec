import { KvReservation } from '@reelspan/config.resources'
import { type Shard } from './deriveShards.js'

const MS_PER_SECOND = 1000
/** Part of the target for the time between tokens that a full batch may use up. */
const TBT_MARGIN = 0.95

/** Time to compute so many prompt tokens, by the model's declared speed. */
export function prefillMs ({ spec }: Shard, tokens: number): number {
  return spec.prefillBaseMs + tokens * MS_PER_SECOND / spec.prefillTokensPerSecond
}

/** Time in which a decode engine computes so many prompt tokens itself, by the model's declared speed; nothing when decode engines cannot. */
export function ownPrefillMs ({ spec }: Shard, tokens: number): number | undefined {
  const { decodePrefillTokensPerSecond: tokensPerSecond } = spec
  return tokensPerSecond === undefined ? undefined : spec.prefillBaseMs + tokens * MS_PER_SECOND / tokensPerSecond
}

/** Time to bring the KV cache of a prompt from one pool to the other. */
export function transferMs ({ spec, prefillPool }: Shard, promptTokens: number): number {
  return promptTokens * spec.kvBytesPerToken * MS_PER_SECOND / prefillPool.linkBytesPerSecond
}

/**
 * KV bytes to reserve for a request.
 *
 * @param typicalShare part of the longest answer that answers usually reach
 */
export function requestKvBytes ({ spec, decodePool }: Shard, request: { promptTokens: number, maxTokens: number }, typicalShare: number): number {
  const share = decodePool.kvReservation === KvReservation.Usual ? typicalShare : 1
  return (request.promptTokens + Math.ceil(share * request.maxTokens)) * spec.kvBytesPerToken
}

/** Places of a decode engine that keep the time between tokens within its target. */
export function slotsWithinTarget ({ spec, decodePool }: Shard, tbtTargetMs: number): number {
  if (spec.decodeStepPerRequestMs === 0) return decodePool.placesPerEngine
  const within = Math.floor((tbtTargetMs * TBT_MARGIN - spec.decodeStepBaseMs) / spec.decodeStepPerRequestMs)
  return Math.max(1, Math.min(decodePool.placesPerEngine, within))
}
