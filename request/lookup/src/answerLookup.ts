import { type Clock, type Random } from '@reelspan/core.env'
import { type Member } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { formatKeyPrefix } from '@reelspan/request.key'

export interface LookupOptions {
  clock: Clock
  random: Random
  view: MembershipView
  /** Requests in flight at a member, where known. */
  loadOf: (incarnation: string) => number | undefined
  /** Prefers boxes of this availability zone. */
  availabilityZone?: string
  /** How long callers may keep the answer. */
  keepMs: number
  boxCount: number
}

export interface LookupBox {
  name: string
  address: string
  availabilityZone: string
}

/** Which boxes to use, best first, and the start of the keys of new requests. */
export interface LookupAnswer {
  boxes: LookupBox[]
  keepMs: number
  /** Names the box that answered as the owner of requests whose keys start so. */
  keyPrefix: string
}

/** How much a box in another availability zone is avoided: as if it had this many more requests. */
const REMOTE_ZONE_PENALTY_REQUESTS = 20

/** Answers a lookup from what this box knows, without asking anyone. */
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

/** A random order in which less loaded and nearer boxes come first more often, so that a box's share follows its room. */
function shuffleByLoad (members: readonly Member[], { random, loadOf, availabilityZone }: LookupOptions): Member[] {
  const known = members.flatMap(({ incarnation }) => loadOf(incarnation) ?? [])
  const meanLoad = known.length > 0 ? known.reduce((sum, load) => sum + load, 0) / known.length : 0
  return members
    .map((member) => {
      const isRemote = availabilityZone !== undefined && member.availabilityZone !== availabilityZone
      const load = (loadOf(member.incarnation) ?? meanLoad) + (isRemote ? REMOTE_ZONE_PENALTY_REQUESTS : 0)
      // Exponential race: the chance to come first is inverse to the load.
      return { member, time: -Math.log(1 - random.nextFloat()) * (1 + load) }
    })
    .sort((a, b) => a.time - b.time)
    .map(({ member }) => member)
}
