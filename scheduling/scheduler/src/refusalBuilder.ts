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

/** Part of the places that is kept for those who return: they are late, so most is left to those who can be in time. */
const RETRY_CAPACITY_SHARE = 0.5
/** Callers honour a time to return for a third of the time that they have left; the refusal takes some of it to reach them. */
const MAX_RETRY_DELAY_SHARE = 0.3

/** Refuses requests, each with a time to return that is booked for it. */
export class RefusalBuilder {
  readonly #opts: RefusalBuilderOptions

  constructor (opts: RefusalBuilderOptions) {
    this.#opts = opts
  }

  /** @param waitingCount requests that wait at the scheduler */
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
