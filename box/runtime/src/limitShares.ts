import { type MembershipView } from '@reelspan/membership.view'

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
