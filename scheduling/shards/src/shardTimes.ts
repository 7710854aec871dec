import { KvReservation } from '@reelspan/config.resources'
import { type Shard } from './deriveShards.js'

const MS_PER_SECOND = 1000
/** Share of the target time between tokens that a decode step of a full batch may take. */
const TBT_MARGIN = 0.95

/** Time in which a prefill engine computes this many prompt tokens, at the model's declared speed. */
export function prefillMs ({ spec }: Shard, tokens: number): number {
  return spec.prefillBaseMs + tokens * MS_PER_SECOND / spec.prefillTokensPerSecond
}

/** Time in which a decode engine computes this many prompt tokens itself, at the model's declared speed; undefined if decode engines cannot prefill. */
export function ownPrefillMs ({ spec }: Shard, tokens: number): number | undefined {
  const { decodePrefillTokensPerSecond: tokensPerSecond } = spec
  return tokensPerSecond === undefined ? undefined : spec.prefillBaseMs + tokens * MS_PER_SECOND / tokensPerSecond
}

/** Time to transfer the KV cache of a prompt from the prefill pool to the decode pool. */
export function transferMs ({ spec, prefillPool }: Shard, promptTokens: number): number {
  return promptTokens * spec.kvBytesPerToken * MS_PER_SECOND / prefillPool.linkBytesPerSecond
}

/**
 * Returns the KV bytes to reserve for a request.
 *
 * @param typicalShare expected answer length as a share of `maxTokens`
 */
export function requestKvBytes ({ spec, decodePool }: Shard, request: { promptTokens: number, maxTokens: number }, typicalShare: number): number {
  const share = decodePool.kvReservation === KvReservation.Usual ? typicalShare : 1
  return (request.promptTokens + Math.ceil(share * request.maxTokens)) * spec.kvBytesPerToken
}

/** The number of slots of a decode engine that keeps the time between tokens within its target. */
export function slotsWithinTarget ({ spec, decodePool }: Shard, tbtTargetMs: number): number {
  if (spec.decodeStepPerRequestMs === 0) return decodePool.placesPerEngine
  const within = Math.floor((tbtTargetMs * TBT_MARGIN - spec.decodeStepBaseMs) / spec.decodeStepPerRequestMs)
  return Math.max(1, Math.min(decodePool.placesPerEngine, within))
}
