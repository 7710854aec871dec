import { topByRendezvous } from '@reelspan/core.hashing'
import { type Member } from '@reelspan/core.messages'

/** Members with less than this part of the room of the largest are not asked to account for a shard: it costs them more than their callers can bear. */
const LEAST_ROOM_SHARE = 0.5
/** Room of members that do not tell theirs. */
const USUAL_ROOM = 1

/** What was chosen from a list of members, which stays the same until one of them changes. */
const chosen = new WeakMap<readonly Member[], Map<string, Member | undefined>>()

/**
 * The member that accounts for a shard, by this box's view. Members of the shard's
 * own availability zone go first, and among those the ones with much room. Chosen
 * once for each list: it takes a hash of each member, and every request asks.
 */
export function schedulerOf (shard: { id: string, availabilityZone?: string }, members: readonly Member[]): Member | undefined {
  const known = chosen.get(members) ?? new Map<string, Member | undefined>()
  chosen.set(members, known)
  const key = `${shard.id}|${shard.availabilityZone ?? ''}`
  if (!known.has(key)) known.set(key, choose(shard, members))
  return known.get(key)
}

function choose (shard: { id: string, availabilityZone?: string }, members: readonly Member[]): Member | undefined {
  const near = members.filter(({ availabilityZone }) => availabilityZone === shard.availabilityZone)
  const candidates = near.length > 0 ? near : members
  const mostRoom = candidates.reduce((most, member) => Math.max(most, roomOf(member)), 0)
  const roomy = candidates.filter((member) => roomOf(member) >= LEAST_ROOM_SHARE * mostRoom)
  return topByRendezvous(shard.id, roomy, ({ incarnation }) => incarnation)
}

function roomOf ({ room }: Member): number {
  return room ?? USUAL_ROOM
}
