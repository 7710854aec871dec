import { type PlacementRefusal, PlacementOutcome } from '@reelspan/core.messages'
import { msPerLatePlace } from './decideAdmission.js'
import { type PlacementChooser } from './placementChooser.js'
import { type PlacementEstimator } from './placementEstimator.js'
import { type PlacementRate } from './placementRate.js'
import { type ReturnCalendar } from './returnCalendar.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface RefusalBookingOptions {
  chooser: PlacementChooser
  estimator: PlacementEstimator
  rate: PlacementRate
  calendar: ReturnCalendar
}

/** Part of the places that is kept for those who return: they are late, so most is left to those who can be in time. */
const RETURN_SHARE = 0.5
/** Callers honour a time to return for a third of the time that they have left; the refusal takes some of it to reach them. */
const RETURN_HONOURED_SHARE = 0.3

/** Refuses requests, each with a time to return that is booked for it. */
export class RefusalBooking {
  readonly #opts: RefusalBookingOptions

  constructor (opts: RefusalBookingOptions) {
    this.#opts = opts
  }

  /** @param waitingCount requests that wait at the scheduler */
  refuse ({ request, firstArrivedAtMs }: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string, { waitingCount, nowMs }: { waitingCount: number, nowMs: number }): PlacementRefusal {
    const { chooser, estimator, rate, calendar } = this.#opts
    const engines = chooser.readyEngines(nowMs)
    const costsMs = engines.map(({ engine }) => estimator.prefillCostMs(request, engine.name, nowMs))
    const prefillShareMs = engines.length > 0 ? Math.min(...costsMs) / engines.length : 0
    const msPerPlace = rate.msPerPlace(nowMs)
    const msPerLate = msPerLatePlace({ msPerPlace, msPerArrival: rate.msPerArrival(nowMs) }, 0)
    const msPerReturn = Math.min(msPerLate, msPerPlace / RETURN_SHARE)
    const retryAfterMs = calendar.book({
      returnId: request.returnId,
      firstArrivedAtMs,
      placeInMs: waitingCount * msPerLate,
      costMs: Math.max(prefillShareMs, msPerReturn),
      honouredMs: RETURN_HONOURED_SHARE * request.deadlineMs,
    }, nowMs)
    return { outcome: PlacementOutcome.Refused, reason, retryAfterMs: Math.round(retryAfterMs) }
  }
}
