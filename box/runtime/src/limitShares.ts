import { type MembershipView } from '@reelspan/membership.view'

/** The part of a limit for the boxes that this one sees: of a fleet in two parts, each part may give out its part. */
export function sideShare (view: MembershipView): number {
  return view.live().length / knownCount(view)
}

/** The part of a limit for one box that can ask no other. */
export function singleShare (view: MembershipView): number {
  return 1 / knownCount(view)
}

function knownCount (view: MembershipView): number {
  return view.live().length + view.suspected().length
}
