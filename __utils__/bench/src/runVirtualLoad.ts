import { SeededRandom } from '@reelspan/utils.fakes'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { expectedAnswer } from '@reelspan/utils.fakes'
import { type PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { BASELINE_REPORTS } from './baselineReports.js'
import { Condition } from './condition.js'
import { drawLoad, type LoadRequest, type LoadShape } from './loadShape.js'
import { addStats, type EngineStats, NO_STATS } from './readEngineStats.js'
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
  /** Only what is sent after this is counted. */
  warmUpMs: number
  faultAfterMs: number
  /** Times that a refused request comes back when it is told to. */
  maxReturns: number
  /** Part of the requests that one client account sends beside all others' load. */
  floodShare: number
}

export interface VirtualLoadResult {
  requests: LoadRequest[]
  outcomes: LoadOutcome[]
  engines: EngineStats
  kvShare: number
}

/** The account that floods. Its own requests are not counted. */
export const FLOOD_CLIENT = 'flood'

const REPORT_LAG_MS = 500
const LIMIT_MS = 120_000
const SAMPLE_MS = 500
const FROZEN_ZONE = 'hall-c'

/**
 * Runs the same boxes and engines as the bench does, in one program on a
 * virtual clock: the same figures each time, and nothing of the machine in them.
 */
export async function runVirtualLoad (opts: VirtualLoadOptions): Promise<VirtualLoadResult> {
  const { strategy, index, admission, shape, seed, requestsPerSecond, durationMs, warmUpMs } = opts
  const fleet = await new FakeFleet({
    settings: { scheduling: { ...strategy !== 'scheduler' && BASELINE_REPORTS, strategy, prefixIndex: index, admission, countOwn: admission } },
    engine: { reportLagMs: REPORT_LAG_MS },
  }).start()
  const load = drawLoad(new SeededRandom(seed), shape, { requestsPerSecond, durationMs, name: 'r' })
  const requests = [...load, ...drawFlood(opts)].sort((a, b) => a.atMs - b.atMs)
  const measured = measure(fleet, warmUpMs, durationMs)
  const faulted = impose(opts.condition, fleet, warmUpMs + opts.faultAfterMs)
  const outcomes = await fleet.clock.run(Promise.all(requests.map((one, i) => send(fleet, one, i, opts))), LIMIT_MS)
  const { engines, kvShare } = await fleet.clock.run(measured)
  await fleet.clock.run(faulted)
  await fleet.stop()
  return {
    requests: requests.filter(({ atMs }) => atMs >= warmUpMs),
    outcomes: outcomes.filter((_, i) => requests[i].atMs >= warmUpMs),
    engines,
    kvShare,
  }
}

function drawFlood ({ shape, seed, requestsPerSecond, durationMs, floodShare }: VirtualLoadOptions): LoadRequest[] {
  if (floodShare === 0) return []
  const flood = drawLoad(new SeededRandom(seed + 1), shape, { requestsPerSecond: requestsPerSecond * floodShare, durationMs, name: 'flood' })
  return flood.map((one) => ({ ...one, client: FLOOD_CLIENT }))
}

async function send (fleet: FakeFleet, one: LoadRequest, i: number, { shape, maxReturns }: VirtualLoadOptions): Promise<LoadOutcome> {
  await fleet.clock.sleep(one.atMs)
  const sentAtMs = fleet.clock.nowMs()
  const boxes = fleet.liveBoxes()
  const { name } = boxes[i % boxes.length]
  const { maxTokens, client, prompt } = one
  const request = fleet.completion(name, prompt, { maxTokens, client, ttftTargetMs: shape.ttftTargetMs, tbtTargetMs: shape.tbtTargetMs })
  for (let returns = 0; ; returns++) {
    const outcome = await fleet.send(name, request)
    const { verdict, code, retryAfterMs, tokenAtMs, endMs, text } = outcome
    if (retryAfterMs === undefined || returns >= maxReturns) {
      const tbtMs = tokenAtMs.slice(1).map((atMs, k) => atMs - tokenAtMs[k])
      return { id: one.id, client, startedAtMs: sentAtMs, verdict, code, retryAfterMs, ttftMs: tokenAtMs[0], tbtMs, endMs, whole: text === expectedAnswer(prompt, maxTokens), returns }
    }
    await fleet.clock.sleep(retryAfterMs)
  }
}

async function measure (fleet: FakeFleet, warmUpMs: number, durationMs: number): Promise<{ engines: EngineStats, kvShare: number }> {
  await fleet.clock.sleep(warmUpMs)
  const before = readStats(fleet)
  const shares: number[] = []
  for (let atMs = warmUpMs; atMs < durationMs; atMs += SAMPLE_MS) {
    const { kvBytesUsed, kvBytesTotal } = readStats(fleet)
    shares.push(kvBytesUsed / kvBytesTotal)
    await fleet.clock.sleep(SAMPLE_MS)
  }
  return { engines: addStats(readStats(fleet), before, -1), kvShare: shares.reduce((sum, share) => sum + share, 0) / shares.length }
}

function readStats (fleet: FakeFleet): EngineStats {
  return fleet.allEngines()
    .map(({ stats, kvBytesUsed, kvBytesTotal }) => ({ ...stats, kvBytesUsed, kvBytesTotal }))
    .reduce((sum, one) => addStats(sum, one), NO_STATS)
}

async function impose (condition: Condition, fleet: FakeFleet, atMs: number): Promise<void> {
  await fleet.clock.sleep(atMs)
  switch (condition) {
    case Condition.Calm:
      return
    case Condition.EngineLost:
      fleet.killEngine('decode-2')
      return
    case Condition.SchedulerKilled:
      fleet.kill(fleet.schedulerBox().name)
      return
    case Condition.ZoneFrozen:
      fleet.boxes.filter(({ availabilityZone }) => availabilityZone === FROZEN_ZONE).forEach(({ name }) => fleet.kill(name))
      fleet.cutOffZone(FROZEN_ZONE)
      return
    case Condition.CacheEventsLost:
      fleet.engines.forEach(({ faults }) => { faults.loseCacheEvents = true })
      return
    case Condition.PlatformGone:
      fleet.platform.outage = true
  }
}
