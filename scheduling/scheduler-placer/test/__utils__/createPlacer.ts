import { UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { type Member, MemberHealth, MessageType, type PeerCallOptions, PeerLink, PeerLinkError, type PeerMessage, PlacementOutcome, type PlacementPlan, type PlacementRefusal } from '@reelspan/core.messages'
import { type Placement, Placer, type PlaceRequest } from '@reelspan/scheduling.placer'
import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { ShardScheduler } from '@reelspan/scheduling.scheduler'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { type Shard } from '@reelspan/scheduling.shards'
import { EngineRole } from '@reelspan/upstream.client'
import { sampleDeclarations, VirtualClock } from '@reelspan/utils.fakes'

const SELF = 'a'.repeat(16)
const OTHER = 'b'.repeat(16)

/** A link whose calls the test answers. */
class ManualLink extends PeerLink {
  readonly calls: { message: PeerMessage, answer: (message: PeerMessage) => void }[] = []

  call (address: string, message: PeerMessage, { signal }: PeerCallOptions): Promise<PeerMessage> {
    return new Promise((resolve, reject) => {
      this.calls.push({ message, answer: resolve })
      signal?.addEventListener('abort', () => reject(new PeerLinkError(`the call to ${address} was aborted`, { mayHaveArrived: true })))
    })
  }

  async * stream (): AsyncGenerator<PeerMessage> {
    throw new Error('streams are not supported by this link')
  }

  serve (): void {}

  async close (): Promise<void> {}

  ofType (type: MessageType): PeerMessage[] {
    return this.calls.map(({ message }) => message).filter((message) => message.type === type)
  }
}

class RecordingPlacer extends Placer {
  asked = 0

  async place (): Promise<Placement | PlacementRefusal> {
    this.asked++
    return { outcome: PlacementOutcome.Refused, reason: 'no engine answers', retryAfterMs: 100 }
  }
}

export interface TestPlacerOptions {
  shards?: number
  /** The scheduler runs on another box. */
  remote?: boolean
  onEarlyRetry?: () => void
}

/** Creates a placer on a box that runs the scheduler itself, or calls another box's scheduler. */
export function createPlacer ({ shards = 1, remote = false, onEarlyRetry }: TestPlacerOptions = {}) {
  const clock = new VirtualClock()
  const link = new ManualLink()
  const fallback = new RecordingPlacer()
  const createScheduler = (shard: Shard) => new ShardScheduler({ clock, shard, route: () => undefined, index: createPrefixIndex(PrefixIndexKind.Events), maxReportAgeMs: 1_000_000 })
  const listed = Array.from({ length: shards }, (_, i) => shardOf(`draft#${i}`))
  const schedulers = new Map(listed.map((shard) => [shard.id, createScheduler(shard)]))
  // A new list after each change, as in a membership view.
  let members = [memberOf(remote ? OTHER : SELF)]
  const placer = new SchedulerPlacer({
    clock,
    link,
    selfIncarnation: () => SELF,
    schedulers: () => members,
    shardsOfModel: () => listed,
    localScheduler: (id) => schedulers.get(id),
    fallback,
    onEarlyRetry,
  })
  /** Another box takes over the shards; the previous scheduler stays alive. */
  const replaceScheduler = () => {
    const current = members[0]?.incarnation === SELF ? OTHER : SELF
    members = [withHeadroom(memberOf(current)), ...members]
  }
  return { clock, link, fallback, placer, schedulers: [...schedulers.values()], replaceScheduler }
}

/** A member that is chosen before those with default headroom. */
function withHeadroom (member: Member): Member {
  return { ...member, room: 10 }
}

function memberOf (incarnation: string): Member {
  return { name: `box-${incarnation[0]}`, availabilityZone: 'z', peerAddress: '10.0.0.2:1', callerAddress: '10.0.0.2:2', incarnation, version: 1, health: MemberHealth.Alive, leaving: false }
}

/** Records the first reports of the engines, so that the scheduler places waiting requests. */
export function reportEngines (scheduler: ShardScheduler): void {
  const report = { loaded: [{ model: 'draft', version: '1' }], changing: false, placesUsed: 0, placesTotal: 20, kvBytesUsed: 0, kvBytesTotal: 4e9, prefillQueueMs: 0, fence: 0, holds: [] }
  scheduler.recordReport('d-1', { ...report, role: EngineRole.Decode })
  scheduler.recordReport('p-1', { ...report, role: EngineRole.Prefill })
}

export function requestOf (requestId: string): PlaceRequest {
  return {
    model: 'draft',
    label: { ownerAddress: '10.0.0.1:1', ownerIncarnation: SELF, requestId, maxHoldMs: 30_000 },
    returnId: requestId,
    client: '',
    priority: 0,
    promptTokens: 1000,
    prefixes: [],
    maxTokens: 64,
    ttftLeftMs: 390,
    patienceMs: 2000,
    tbtTargetMs: 76,
    deadlineMs: 30_000,
    avoid: [],
  }
}

export const PLAN: PlacementPlan = { outcome: PlacementOutcome.Placed, prefillEngine: 'p-1', prefillAddress: 'p:1', decodeEngine: 'd-1', decodeAddress: 'd:1', kvBytes: 1, startInMs: 0, startWithinMs: 300, expectedTtftMs: 130 }

function shardOf (id: string): Shard {
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const spec = configuration.model('draft')
  const prefillPool = configuration.pool('draft-prefill')
  const decodePool = configuration.pool('draft-decode')
  if (!spec || !prefillPool || !decodePool) throw new Error('the declarations have no model draft')
  const engine = (pool: string) => ({ name: `${pool}-1`, kind: UpstreamKind.Engine, address: `${pool}:1`, availabilityZone: 'z', pool, leaving: false })
  return { id, model: 'draft', spec, prefillPool, decodePool, prefillEngines: [engine('p')], decodeEngines: [engine('d')] }
}
