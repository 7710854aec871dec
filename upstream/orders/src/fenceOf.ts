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
