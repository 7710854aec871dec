import { type Clock, type Random } from '@reelspan/core.env'
import { type Member } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { formatKeyPrefix } from '@reelspan/request.key'

export interface LookupOptions {
  clock: Clock
  random: Random
  view: MembershipView
  /** Requests in flight at a member, if known. */
  loadOf: (incarnation: string) => number | undefined
  /** Prefers boxes of this availability zone. */
  availabilityZone?: string
  /** How long callers may cache the answer. */
  keepMs: number
  boxCount: number
}

export interface LookupBox {
  name: string
  address: string
  availabilityZone: string
}

/** The boxes to use, in order of preference, and a key prefix for new requests. */
export interface LookupAnswer {
  boxes: LookupBox[]
  keepMs: number
  /** Makes the box that answered the owner of requests whose keys start with it. */
  keyPrefix: string
}

/** A box in another availability zone is ranked as if it had this many more requests in flight. */
const REMOTE_ZONE_PENALTY_REQUESTS = 20

/** Answers a lookup from the local membership view, without any network call. */
export function answerLookup (opts: LookupOptions): LookupAnswer {
  const { clock, view, boxCount, keepMs } = opts
  const ordered = shuffleByLoad(view.takingWork(), opts).slice(0, boxCount)
  const { peerAddress, incarnation } = view.self
  return {
    boxes: ordered.map(({ name, callerAddress, availabilityZone }) => ({ name, address: callerAddress, availabilityZone })),
    keepMs,
    keyPrefix: formatKeyPrefix({ peerAddress, incarnation, issuedAtMs: clock.nowMs() }),
  }
}

/** Weighted random order that prefers boxes with little load in the caller's zone, so that a box's share of lookups follows its free capacity. */
function shuffleByLoad (members: readonly Member[], { random, loadOf, availabilityZone }: LookupOptions): Member[] {
  const known = members.flatMap(({ incarnation }) => loadOf(incarnation) ?? [])
  const meanLoad = known.length > 0 ? known.reduce((sum, load) => sum + load, 0) / known.length : 0
  return members
    .map((member) => {
      const isRemote = availabilityZone !== undefined && member.availabilityZone !== availabilityZone
      const load = (loadOf(member.incarnation) ?? meanLoad) + (isRemote ? REMOTE_ZONE_PENALTY_REQUESTS : 0)
      // Exponential race: the probability of coming first is inversely proportional to 1 + load.
      return { member, time: -Math.log(1 - random.nextFloat()) * (1 + load) }
    })
    .sort((a, b) => a.time - b.time)
    .map(({ member }) => member)
}
