import { UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { prefixDigests } from '@reelspan/core.hashing'
import { PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { ShardScheduler } from '@reelspan/scheduling.scheduler'
import { type Shard } from '@reelspan/scheduling.shards'
import { SeededRandom, sampleDeclarations, VirtualClock } from '@reelspan/utils.fakes'
import { type EngineReport, EngineRole } from '@reelspan/upstream.client'

/** Cost of a reservation at a scheduler. */
export interface SchedulerCost {
  enginesPerPool: number
  microsecondsPerReservation: number
  placedShare: number
}

const RESERVATIONS = 3000
const PROMPT_TOKENS = 1200
/** Requests per second for each prefill engine, close to its capacity. */
const REQUESTS_PER_SECOND_PER_ENGINE = 12
const PREFIXES = 200
const DECODE_MS = 2000

/** Measures the CPU time of one scheduler close to full load, driven by a virtual clock. */
export async function measureScheduler (enginesPerPool: number): Promise<SchedulerCost> {
  const clock = new VirtualClock()
  const random = new SeededRandom(1)
  const scheduler = new ShardScheduler({ clock, shard: createShard(enginesPerPool), route: () => undefined, index: createPrefixIndex(PrefixIndexKind.Events), maxReportAgeMs: Number.POSITIVE_INFINITY })
  const { prefillEngines, decodeEngines } = scheduler.ledger.shard
  prefillEngines.forEach(({ name }) => scheduler.recordReport(name, createIdleReport(EngineRole.Prefill)))
  decodeEngines.forEach(({ name }) => scheduler.recordReport(name, createIdleReport(EngineRole.Decode)))
  const prompts = Array.from({ length: PREFIXES }, (_, i) => prefixDigests(`${i} `.repeat(PROMPT_TOKENS * 2).slice(0, PROMPT_TOKENS * 4)))
  let placed = 0
  const cpuBefore = process.cpuUsage()
  for (let i = 0; i < RESERVATIONS; i++) {
    const request = createRequest(i, prompts[random.nextInt(PREFIXES)])
    void scheduler.reserve(request).then(async (answer) => {
      if (answer.outcome === PlacementOutcome.Refused) return
      placed++
      await clock.sleep(answer.expectedTtftMs / 2)
      scheduler.recordPrefillEnd(request.label)
      await clock.sleep(DECODE_MS)
      scheduler.release(request.label, { completionTokens: 40, ttftErrorMs: 5, tbtP50Ms: 50 })
    })
    await clock.advance(1000 / (REQUESTS_PER_SECOND_PER_ENGINE * enginesPerPool))
  }
  const { user, system } = process.cpuUsage(cpuBefore)
  await clock.advance(2 * DECODE_MS)
  await scheduler.stop()
  return { enginesPerPool, microsecondsPerReservation: (user + system) / RESERVATIONS, placedShare: placed / RESERVATIONS }
}

function createShard (enginesPerPool: number): Shard {
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const engines = (pool: string) => Array.from({ length: enginesPerPool }, (_, i) => ({ name: `${pool}-${i}`, kind: UpstreamKind.Engine, address: `10.0.0.1:${i}`, availabilityZone: 'z', pool, leaving: false }))
  const spec = configuration.model('draft')
  const prefillPool = configuration.pool('draft-prefill')
  const decodePool = configuration.pool('draft-decode')
  if (!spec || !prefillPool || !decodePool) throw new Error('the declarations lack the model "draft" or one of its pools')
  return { id: 'draft', model: 'draft', spec, prefillPool, decodePool, prefillEngines: engines('p'), decodeEngines: engines('d') }
}

function createIdleReport (role: EngineRole): EngineReport {
  return { role, loaded: [{ model: 'draft', version: '1' }], changing: false, placesUsed: 0, placesTotal: 20, kvBytesUsed: 0, kvBytesTotal: 4e9, prefillQueueMs: 0, fence: 0, holds: [] }
}

function createRequest (i: number, prefixes: ReserveRequest['prefixes']): ReserveRequest {
  return {
    shardId: 'draft',
    label: { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'i', requestId: String(i), maxHoldMs: 30_000 },
    returnId: String(i),
    client: `client-${i % 370}`,
    priority: 0,
    promptTokens: PROMPT_TOKENS,
    prefixes,
    maxTokens: 64,
    ttftLeftMs: 390,
    tbtTargetMs: 76,
    deadlineMs: 30_000,
    avoid: [],
  }
}
