import { topByRendezvous } from '@reelspan/core.hashing'
import { type Member } from '@reelspan/core.messages'

/** Members with less than this part of the room of the largest are not asked to account for a shard: it costs them more than their callers can bear. */
const MIN_HEADROOM_SHARE = 0.5
/** Room of members that do not tell theirs. */
const DEFAULT_HEADROOM = 1

/** What was chosen from a list of members, which stays the same until one of them changes. */
const schedulerCache = new WeakMap<readonly Member[], Map<string, Member | undefined>>()

/**
 * The member that accounts for a shard, by this box's view. Members of the shard's
 * own availability zone go first, and among those the ones with much room. Chosen
 * once for each list: it takes a hash of each member, and every request asks.
 */
export function schedulerOf (shard: { id: string, availabilityZone?: string }, members: readonly Member[]): Member | undefined {
  const cached = schedulerCache.get(members) ?? new Map<string, Member | undefined>()
  schedulerCache.set(members, cached)
  const key = `${shard.id}|${shard.availabilityZone ?? ''}`
  if (!cached.has(key)) cached.set(key, choose(shard, members))
  return cached.get(key)
}

function choose (shard: { id: string, availabilityZone?: string }, members: readonly Member[]): Member | undefined {
  const sameZone = members.filter(({ availabilityZone }) => availabilityZone === shard.availabilityZone)
  const candidates = sameZone.length > 0 ? sameZone : members
  const maxHeadroom = candidates.reduce((most, member) => Math.max(most, headroomOf(member)), 0)
  const eligible = candidates.filter((member) => headroomOf(member) >= MIN_HEADROOM_SHARE * maxHeadroom)
  return topByRendezvous(shard.id, eligible, ({ incarnation }) => incarnation)
}

function headroomOf ({ room }: Member): number {
  return room ?? DEFAULT_HEADROOM
}
