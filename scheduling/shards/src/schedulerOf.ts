import { topByRendezvous } from '@reelspan/core.hashing'
import { type Member } from '@reelspan/core.messages'

/** The member that accounts for a shard, by this box's view. Members of the shard's own availability zone go first. */
export function schedulerOf (shard: { id: string, availabilityZone?: string }, members: readonly Member[]): Member | undefined {
  const near = members.filter(({ availabilityZone }) => availabilityZone === shard.availabilityZone)
  const candidates = near.length > 0 ? near : members
  return topByRendezvous(shard.id, candidates, ({ incarnation }) => incarnation)
}
