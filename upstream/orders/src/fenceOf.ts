import { storeRevisionOf } from '@reelspan/config.store'
import { hash32 } from '@reelspan/core.hashing'

/** Orders that one revision can number. */
export const FENCE_STEPS = 2 ** 20

/**
 * The fencing number of the next order to an engine: the revision that asks for
 * it, with a step counted from the engine's own last accepted number. Two
 * controllers that believe the same compute the same, and one that believes an
 * older revision computes less.
 */
export function fenceOf (revision: number, acceptedFence: number): number {
  const acceptedRevision = Math.floor(acceptedFence / FENCE_STEPS)
  const step = acceptedRevision === revision ? acceptedFence % FENCE_STEPS : 0
  return revision * FENCE_STEPS + step + 1
}

/** Orders to one engine that are told apart within one revision; more have the same number but for their holder. */
const UNIQUE_STEPS = 2 ** 8
/** Revisions that are told apart within one era of the platform's store. */
const REVISIONS_PER_ERA = 2 ** 28
/** Above this the number would not fit into 63 bits. */
const MAX_ERA = 2 ** 7 - 1
/**
 * Numbers of holders: two boxes have the same one in a million times. Fencing numbers are exact up to revision
 * 2^25 of era 0; above it they never fall, and fewer holders are told apart.
 */
const HOLDERS = 2 ** 20

/**
 * The fencing number of an order to an engine that does not report the last number
 * it took, but how many orders. It rises with the order of the list, over all eras of
 * the platform's store, and with each order; two holders that believe the same do not
 * give the same number.
 */
export function uniqueFenceOf (listOrder: number, ordersTaken: number, holder: string): number {
  const { era, revision } = storeRevisionOf(listOrder)
  const position = Math.min(era, MAX_ERA) * REVISIONS_PER_ERA + Math.min(revision, REVISIONS_PER_ERA - 1)
  const step = Math.min(ordersTaken, UNIQUE_STEPS - 1)
  return (position * UNIQUE_STEPS + step) * HOLDERS + hash32(holder) % HOLDERS
}
