import { type Member, MemberHealth } from '@reelspan/core.messages'

/**
 * Merges two states of one incarnation. The result does not depend on the order
 * in which states arrive: `gone` is final, then the higher version wins, then
 * `suspect` wins over `alive`.
 */
export function mergeMember (a: Member, b: Member): Member {
  if (a.health === MemberHealth.Gone || b.health === MemberHealth.Gone) return mergeGone(a, b)
  if (a.version !== b.version) return a.version > b.version ? a : b
  return a.health === MemberHealth.Suspect ? a : b
}

function mergeGone (a: Member, b: Member): Member {
  const newer = a.version >= b.version ? a : b
  return { ...newer, health: MemberHealth.Gone, successor: a.successor ?? b.successor }
}
