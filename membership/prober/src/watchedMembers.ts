import { hash32 } from '@reelspan/core.hashing'
import { type Member } from '@reelspan/core.messages'

/**
 * The members that `self` probes: its successors at the ring distances 1, 2, 4,
 * … in a ring ordered by hash. Each box watches `count` others and is watched
 * by as many, independently of the fleet's size. The long distances spread
 * updates to all boxes in a number of hops logarithmic in the fleet's size.
 */
export function watchedMembers (self: Member, members: readonly Member[], count: number): Member[] {
  const ring = members
    .map((member) => ({ member, position: hash32(member.incarnation) }))
    .sort((a, b) => a.position - b.position || (a.member.incarnation < b.member.incarnation ? -1 : 1))
    .map(({ member }) => member)
  const ownIndex = ring.findIndex(({ incarnation }) => incarnation === self.incarnation)
  if (ownIndex < 0) return ring.slice(0, count)
  const others = ring.length - 1
  return stepsAround(others, count).map((step) => ring[(ownIndex + step) % ring.length])
}

/** Ring distances that grow geometrically from 1 to half the ring. */
function stepsAround (others: number, count: number): number[] {
  if (others <= count) return Array.from({ length: others }, (_, i) => i + 1)
  const growth = (others / 2) ** (1 / (count - 1))
  const steps = new Set(Array.from({ length: count }, (_, i) => Math.round(growth ** i)))
  for (let step = 1; steps.size < count; step++) steps.add(step)
  return [...steps]
}
