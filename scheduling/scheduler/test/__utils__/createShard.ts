import { UpstreamKind } from '@reelspan/config.fleet'
import { checkResources, type RouteSpec } from '@reelspan/config.resources'
import { type PrefixDigest } from '@reelspan/core.hashing'
import { type ReserveRequest } from '@reelspan/core.messages'
import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { ShardScheduler, type ShardSchedulerOptions } from '@reelspan/scheduling.scheduler'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport, EngineRole } from '@reelspan/upstream.client'
import { sampleDeclarations, VirtualClock } from '@reelspan/utils.fakes'

export interface TestShardOptions {
  /** Another shard's clock; a new one if omitted. */
  clock?: VirtualClock
  prefill?: number
  decode?: number
  slots?: number
  /** Availability zones that are assigned in turn to the engines of each role. */
  zones?: readonly string[]
  /** Whether the engines have reported. */
  reported?: boolean
  route?: Partial<RouteSpec>
  accounts?: ShardSchedulerOptions['accounts']
  /** Prefill speed of decode engines; undefined if they cannot prefill. */
  decodePrefillTokensPerSecond?: number
  tokensPerEvent?: number
  limitPerSecond?: ShardSchedulerOptions['limitPerSecond']
  maxReportAgeMs?: number
  onUnreachable?: (engine: string) => void
  onSuspected?: (engine: string) => void
  onAdmission?: ShardSchedulerOptions['onAdmission']
  onAnswered?: ShardSchedulerOptions['onAnswered']
  onEarlyRetry?: () => void
  onTaskError?: ShardSchedulerOptions['onTaskError']
}

/** Creates a scheduler of a small shard whose engines have reported. Prefill of 1,000 uncached tokens takes 130 ms. */
export function createShard ({ clock = new VirtualClock(), prefill = 2, decode = 2, slots = 20, zones = ['z'], reported = true, route, accounts, decodePrefillTokensPerSecond, tokensPerEvent = 1, limitPerSecond, maxReportAgeMs = 1_000_000, onUnreachable, onSuspected, onAdmission, onAnswered, onEarlyRetry, onTaskError }: TestShardOptions = {}) {
  const derived = shardOf({ prefill, decode, slots, zones })
  const shard = { ...derived, spec: { ...derived.spec, decodePrefillTokensPerSecond, tokensPerEvent } }
  const scheduler = new ShardScheduler({ clock, shard, route: () => route as RouteSpec | undefined, accounts, index: createPrefixIndex(PrefixIndexKind.Events), maxReportAgeMs, limitPerSecond, onUnreachable, onSuspected, onAdmission, onAnswered, onEarlyRetry, onTaskError })
  if (!reported) return { clock, scheduler, shard }
  shard.prefillEngines.forEach(({ name }) => scheduler.recordReport(name, reportOf(EngineRole.Prefill)))
  shard.decodeEngines.forEach(({ name }) => scheduler.recordReport(name, reportOf(EngineRole.Decode)))
  return { clock, scheduler, shard }
}

export function reportOf (role: EngineRole, over: Partial<EngineReport> = {}): EngineReport {
  return { role, loaded: [{ model: 'draft', version: '1' }], changing: false, placesUsed: 0, placesTotal: 20, kvBytesUsed: 0, kvBytesTotal: 4e9, prefillQueueMs: 0, fence: 0, holds: [], ...over }
}

let sequence = 0

export function requestOf (over: Partial<ReserveRequest> = {}): ReserveRequest {
  const requestId = String(sequence++)
  return {
    shardId: 'draft',
    label: { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'owner', requestId, maxHoldMs: 30_000 },
    returnId: requestId,
    client: 'client',
    priority: 0,
    promptTokens: 1000,
    prefixes: [],
    maxTokens: 64,
    ttftLeftMs: 390,
    tbtTargetMs: 76,
    deadlineMs: 30_000,
    avoid: [],
    ...over,
  }
}

export function sharedPrefix (digest: string, tokens = 960): PrefixDigest[] {
  return [{ digest, tokens }]
}

function shardOf ({ prefill, decode, slots, zones }: Required<Pick<TestShardOptions, 'prefill' | 'decode' | 'slots' | 'zones'>>): Shard {
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const spec = configuration.model('draft')
  const prefillPool = configuration.pool('draft-prefill')
  const decodePool = configuration.pool('draft-decode')
  if (!spec || !prefillPool || !decodePool) throw new Error('the declarations have no model draft')
  const engines = (pool: string, count: number) => Array.from({ length: count }, (_, i) => ({ name: `${pool}-${i + 1}`, kind: UpstreamKind.Engine, address: `${pool}:${i + 1}`, availabilityZone: zones[i % zones.length], pool, leaving: false }))
  return { id: 'draft', model: 'draft', spec, prefillPool, decodePool: { ...decodePool, placesPerEngine: slots }, prefillEngines: engines('p', prefill), decodeEngines: engines('d', decode) }
}
