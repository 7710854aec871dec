import { type PlacementRefusal, PlacementOutcome } from '@reelspan/core.messages'
import { msPerLatePlace } from './decideAdmission.js'
import { type PlacementChooser } from './placementChooser.js'
import { type PlacementEstimator } from './placementEstimator.js'
import { type PlacementRate } from './placementRate.js'
import { type RetrySchedule } from './retrySchedule.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface RefusalBuilderOptions {
  chooser: PlacementChooser
  estimator: PlacementEstimator
  rate: PlacementRate
  retrySchedule: RetrySchedule
}

/** Share of the slots reserved for retries. Retried requests are late, so the larger part is left to requests that can be in time. */
const RETRY_CAPACITY_SHARE = 0.5
/** Callers honour a retry delay of up to a third of the time they have left; slightly less is used, because the refusal takes time to reach them. */
const MAX_RETRY_DELAY_SHARE = 0.3

/** Builds refusals, each with a retry delay from the retry schedule. */
export class RefusalBuilder {
  readonly #opts: RefusalBuilderOptions

  constructor (opts: RefusalBuilderOptions) {
    this.#opts = opts
  }

  /** @param waitingCount number of requests waiting at the scheduler */
  refuse ({ request, firstArrivedAtMs }: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string, { waitingCount, nowMs }: { waitingCount: number, nowMs: number }): PlacementRefusal {
    const { chooser, estimator, rate, retrySchedule } = this.#opts
    const engines = chooser.readyEngines(nowMs)
    const costsMs = engines.map(({ engine }) => estimator.prefillCostMs(request, engine.name, nowMs))
    const prefillShareMs = engines.length > 0 ? Math.min(...costsMs) / engines.length : 0
    const msPerPlace = rate.msPerPlace(nowMs)
    const msPerLate = msPerLatePlace({ msPerPlace, msPerArrival: rate.msPerArrival(nowMs) }, 0)
    const msPerRetry = Math.min(msPerLate, msPerPlace / RETRY_CAPACITY_SHARE)
    const retryAfterMs = retrySchedule.schedule({
      returnId: request.returnId,
      firstArrivedAtMs,
      expectedWaitMs: waitingCount * msPerLate,
      intervalMs: Math.max(prefillShareMs, msPerRetry),
      maxHonouredDelayMs: MAX_RETRY_DELAY_SHARE * request.deadlineMs,
    }, nowMs)
    return { outcome: PlacementOutcome.Refused, reason, retryAfterMs: Math.round(retryAfterMs) }
  }
}
