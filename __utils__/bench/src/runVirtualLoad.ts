import { SeededRandom } from '@reelspan/utils.fakes'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { expectedAnswer } from '@reelspan/utils.fakes'
import { type PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { BASELINE_REPORT_SETTINGS } from './baselineReports.js'
import { Condition } from './condition.js'
import { generateLoad, type LoadRequest, type LoadShape } from './loadShape.js'
import { addStats, type EngineStats, ZERO_STATS } from './readEngineStats.js'
import { type LoadOutcome } from './runLoad.js'

export interface VirtualLoadOptions {
  strategy: string
  index: PrefixIndexKind
  admission: boolean
  condition: Condition
  shape: LoadShape
  seed: number
  requestsPerSecond: number
  durationMs: number
  /** Requests sent earlier are not counted. */
  warmUpMs: number
  faultDelayMs: number
  /** Maximum number of retries of a refused request that carries a retry time. */
  maxRetries: number
  /** Load that one additional client account sends, as a share of the load of all others. */
  floodShare: number
}

export interface VirtualLoadResult {
  requests: LoadRequest[]
  outcomes: LoadOutcome[]
  engines: EngineStats
  /** Mean share of the engines' KV memory in use. */
  kvShare: number
}

/** The client account that sends the additional load. Its own requests are left out of the summary. */
export const FLOOD_CLIENT = 'flood'

const REPORT_LAG_MS = 500
const RUN_TIMEOUT_MS = 120_000
const SAMPLE_PERIOD_MS = 500
const FROZEN_ZONE = 'hall-c'

/**
 * Runs the boxes and engines of the benchmark in one process on a virtual clock,
 * so that results are repeatable and do not depend on the machine's speed.
 */
export async function runVirtualLoad (opts: VirtualLoadOptions): Promise<VirtualLoadResult> {
  const { strategy, index, admission, shape, seed, requestsPerSecond, durationMs, warmUpMs } = opts
  const fleet = await new FakeFleet({
    settings: { scheduling: { ...strategy !== 'scheduler' && BASELINE_REPORT_SETTINGS, strategy, prefixIndex: index, admission, countOwn: admission } },
    engine: { reportLagMs: REPORT_LAG_MS },
  }).start()
  const load = generateLoad(new SeededRandom(seed), shape, { requestsPerSecond, durationMs, name: 'r' })
  const requests = [...load, ...generateFlood(opts)].sort((a, b) => a.atMs - b.atMs)
  const measured = sampleFleet(fleet, warmUpMs, durationMs)
  const faultInjected = injectFault(opts.condition, fleet, warmUpMs + opts.faultDelayMs)
  const outcomes = await fleet.clock.run(Promise.all(requests.map((loadRequest, i) => send(fleet, loadRequest, i, opts))), RUN_TIMEOUT_MS)
  const { engines, kvShare } = await fleet.clock.run(measured)
  await fleet.clock.run(faultInjected)
  await fleet.stop()
  return {
    requests: requests.filter(({ atMs }) => atMs >= warmUpMs),
    outcomes: outcomes.filter((_, i) => requests[i].atMs >= warmUpMs),
    engines,
    kvShare,
  }
}

function generateFlood ({ shape, seed, requestsPerSecond, durationMs, floodShare }: VirtualLoadOptions): LoadRequest[] {
  if (floodShare === 0) return []
  const flood = generateLoad(new SeededRandom(seed + 1), shape, { requestsPerSecond: requestsPerSecond * floodShare, durationMs, name: 'flood' })
  return flood.map((loadRequest) => ({ ...loadRequest, client: FLOOD_CLIENT }))
}

async function send (fleet: FakeFleet, loadRequest: LoadRequest, i: number, { shape, maxRetries }: VirtualLoadOptions): Promise<LoadOutcome> {
  await fleet.clock.sleep(loadRequest.atMs)
  const sentAtMs = fleet.clock.nowMs()
  const boxes = fleet.liveBoxes()
  const { name } = boxes[i % boxes.length]
  const { maxTokens, client, prompt } = loadRequest
  const request = fleet.completion(name, prompt, { maxTokens, client, ttftTargetMs: shape.ttftTargetMs, tbtTargetMs: shape.tbtTargetMs })
  for (let retries = 0; ; retries++) {
    const outcome = await fleet.send(name, request)
    const { verdict, code, retryAfterMs, tokenAtMs, endMs, text } = outcome
    if (retryAfterMs === undefined || retries >= maxRetries) {
      const tbtMs = tokenAtMs.slice(1).map((atMs, k) => atMs - tokenAtMs[k])
      return { id: loadRequest.id, client, startedAtMs: sentAtMs, verdict, code, retryAfterMs, ttftMs: tokenAtMs[0], tbtMs, endMs, correct: text === expectedAnswer(prompt, maxTokens), returns: retries }
    }
    await fleet.clock.sleep(retryAfterMs)
  }
}

async function sampleFleet (fleet: FakeFleet, warmUpMs: number, durationMs: number): Promise<{ engines: EngineStats, kvShare: number }> {
  await fleet.clock.sleep(warmUpMs)
  const before = sumEngineStats(fleet)
  const kvShares: number[] = []
  for (let atMs = warmUpMs; atMs < durationMs; atMs += SAMPLE_PERIOD_MS) {
    const { kvBytesUsed, kvBytesTotal } = sumEngineStats(fleet)
    kvShares.push(kvBytesUsed / kvBytesTotal)
    await fleet.clock.sleep(SAMPLE_PERIOD_MS)
  }
  return { engines: addStats(sumEngineStats(fleet), before, -1), kvShare: kvShares.reduce((sum, share) => sum + share, 0) / kvShares.length }
}

function sumEngineStats (fleet: FakeFleet): EngineStats {
  return fleet.allEngines()
    .map(({ stats, kvBytesUsed, kvBytesTotal }) => ({ ...stats, kvBytesUsed, kvBytesTotal }))
    .reduce((sum, engineStats) => addStats(sum, engineStats), ZERO_STATS)
}

async function injectFault (condition: Condition, fleet: FakeFleet, delayMs: number): Promise<void> {
  await fleet.clock.sleep(delayMs)
  switch (condition) {
    case Condition.NoFault:
      return
    case Condition.EngineLost:
      fleet.killEngine('decode-2')
      return
    case Condition.SchedulerKilled:
      fleet.kill(fleet.schedulerBox().name)
      return
    case Condition.ZoneFrozen:
      fleet.boxes.filter(({ availabilityZone }) => availabilityZone === FROZEN_ZONE).forEach(({ name }) => fleet.kill(name))
      fleet.isolateZone(FROZEN_ZONE)
      return
    case Condition.CacheEventsLost:
      fleet.engines.forEach(({ faults }) => { faults.loseCacheEvents = true })
      return
    case Condition.PlatformOutage:
      fleet.platform.outage = true
  }
}
