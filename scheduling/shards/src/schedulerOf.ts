import { topByRendezvous } from '@reelspan/core.hashing'
import { type Member } from '@reelspan/core.messages'

/** Members with less than this share of the largest headroom do not schedule shards: scheduling would slow down the requests they serve themselves. */
const MIN_HEADROOM_SHARE = 0.5
/** Headroom assumed for members that do not report it. */
const DEFAULT_HEADROOM = 1

/** Caches the chosen member per member list. The list is a new object after each change. */
const schedulerCache = new WeakMap<readonly Member[], Map<string, Member | undefined>>()

/**
 * Returns the member that schedules a shard, in this box's view. Members in the shard's
 * availability zone are preferred, and among them those with enough headroom. The result
 * is cached per member list, since choosing hashes every member and each request needs it.
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
