import { type MembershipView } from '@reelspan/membership.view'
import { type BoxParts, listedBoxes } from './boxParts.js'

type MemberParts = Pick<BoxParts, 'clock' | 'expectedBoxes'>

/** Share of a limit for the boxes that this box can reach. In a network partition, each side may grant its own share. */
export function reachableShare (view: MembershipView): number {
  return view.live().length / knownBoxCount(view)
}

/** Share of a limit for a single box that reaches no coordinator. */
export function singleBoxShare (view: MembershipView): number {
  return 1 / knownBoxCount(view)
}

function knownBoxCount (view: MembershipView): number {
  return view.live().length + view.suspected().length
}

/**
 * Share of an account's limit that this box grants as coordinator. A box that has just started and does not know the
 * members grants none, since each of them may consider itself the coordinator.
 */
export function coordinatorShare ({ clock, expectedBoxes }: MemberParts): number {
  const nowMs = clock.nowMs()
  return expectedBoxes.isSettled(nowMs) ? expectedBoxes.reachableShare(nowMs) : 0
}

/** Share of an account's limit that this box grants when no other box decides. */
export function ownShare (parts: MemberParts & Pick<BoxParts, 'fleet' | 'settings'>): number {
  const nowMs = parts.clock.nowMs()
  const knowsCount = parts.expectedBoxes.isSettled(nowMs) || listedBoxes(parts).isComplete
  return knowsCount ? parts.expectedBoxes.ownShare(nowMs) : 0
}
