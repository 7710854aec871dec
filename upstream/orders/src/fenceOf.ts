import { storeRevisionOf } from '@reelspan/config.store'
import { hash32 } from '@reelspan/core.hashing'

/** Number of fencing tokens per revision. */
export const FENCE_STEPS = 2 ** 20

/**
 * The fencing token of the next order to an engine: the revision that requires the
 * order, and a step counted from the last token that the engine accepted. Two controllers
 * with the same state compute the same token; one with an older revision computes a lower one.
 */
export function fenceOf (revision: number, acceptedFence: number): number {
  const acceptedRevision = Math.floor(acceptedFence / FENCE_STEPS)
  const step = acceptedRevision === revision ? acceptedFence % FENCE_STEPS : 0
  return revision * FENCE_STEPS + step + 1
}

/** Orders to one engine with distinct tokens within one revision; further ones differ only by holder. */
const UNIQUE_STEPS = 2 ** 8
/** Revisions with distinct tokens within one era of the platform's store. */
const REVISIONS_PER_ERA = 2 ** 28
/** A higher era would not fit into a token of 63 bits. */
const MAX_ERA = 2 ** 7 - 1
/**
 * Range of holder hashes: two boxes share a hash with a probability of one in a million. Tokens are exact integers up to
 * revision 2^25 of era 0. Above that they never decrease, but fewer holders have distinct tokens.
 */
const HOLDERS = 2 ** 20

/**
 * The fencing token of an order to an engine that reports the number of orders it has
 * accepted instead of the last token. It increases with the order of the list, over all eras
 * of the platform's store, and with each order. Two holders with the same state use different tokens.
 */
export function uniqueFenceOf (listRevision: number, ordersTaken: number, holder: string): number {
  const { era, revision } = storeRevisionOf(listRevision)
  const position = Math.min(era, MAX_ERA) * REVISIONS_PER_ERA + Math.min(revision, REVISIONS_PER_ERA - 1)
  const step = Math.min(ordersTaken, UNIQUE_STEPS - 1)
  return (position * UNIQUE_STEPS + step) * HOLDERS + hash32(holder) % HOLDERS
}
