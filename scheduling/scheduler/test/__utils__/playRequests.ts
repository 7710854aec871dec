import { PlacementOutcome, type PlacementPlan, type ReserveRequest } from '@reelspan/core.messages'
import { type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { SeededRandom, type VirtualClock } from '@reelspan/utils.fakes'
import { requestOf } from './createShard.js'

export interface PlayedLoad {
  clock: VirtualClock
  scheduler: ShardScheduler
  requestsPerSecond: number
  durationMs: number
  /** Time from a request's placement to its first token. */
  firstTokenMs: (plan: PlacementPlan, request: ReserveRequest) => number
  /** Time from the first token to the last. */
  streamMs: (plan: PlacementPlan) => number
  seed?: number
  request?: Partial<ReserveRequest>
}

/** Results as seen by callers. */
export interface PlayedOutcome {
  requests: number
  inTime: number
  refused: number
  /** Requests whose decode engine computed the prompt. */
  ownPrefills: number
  /** Total time that requests waited before they were refused. */
  wastedWaitMs: number
}

/** Plays requests with exponential interarrival times, and the calls that their owners make to the scheduler. */
export async function playRequests ({ clock, scheduler, requestsPerSecond, durationMs, firstTokenMs, streamMs, seed = 1, request = {} }: PlayedLoad): Promise<PlayedOutcome> {
  const random = new SeededRandom(seed)
  const outcome: PlayedOutcome = { requests: 0, inTime: 0, refused: 0, ownPrefills: 0, wastedWaitMs: 0 }
  const playOne = async () => {
    const one = requestOf(request)
    const sentAtMs = clock.nowMs()
    outcome.requests++
    const plan = await scheduler.reserve(one)
    if (plan.outcome === PlacementOutcome.Refused) {
      outcome.refused++
      outcome.wastedWaitMs += clock.nowMs() - sentAtMs
      return
    }
    if (plan.prefillEngine === plan.decodeEngine) outcome.ownPrefills++
    await clock.sleep(firstTokenMs(plan, one))
    scheduler.recordPrefillEnd(one.label)
    if (clock.nowMs() - sentAtMs <= one.ttftLeftMs) outcome.inTime++
    await clock.sleep(streamMs(plan))
    scheduler.release(one.label, { completionTokens: one.maxTokens, ttftErrorMs: 0, tbtP50Ms: 20 })
  }
  const played: Promise<void>[] = []
  for (let atMs = 0; atMs < durationMs;) {
    const gapMs = -Math.log(1 - random.nextFloat()) * 1000 / requestsPerSecond
    atMs += gapMs
    await clock.advance(gapMs)
    played.push(playOne())
  }
  await clock.run(Promise.all(played))
  return outcome
}
