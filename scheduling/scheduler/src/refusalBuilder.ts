import { type PlacementRefusal, PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import { returnKeyOf } from './earlyRetry.js'
import { PROMISE_DUE_SHARE, type RetrySchedule } from './retrySchedule.js'
import { type ShardForecast } from './shardForecast.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface RefusalBuilderOptions {
  forecast: ShardForecast
  retrySchedule: RetrySchedule
  /** For how long the shard's engines have been silent. */
  pausedForMs: (nowMs: number) => number
}

export interface QueueState {
  /** Number of requests waiting at the scheduler, the refused one included. */
  waitingCount: number
  nowMs: number
}

/** Share of the slots reserved for retries. Retried requests are late, so the larger part is left to requests that can be in time. */
const RETRY_CAPACITY_SHARE = 0.25
/** Callers honour a retry delay of up to a third of the time they have left; slightly less is used, because the refusal takes time to reach them. */
const MAX_RETRY_DELAY_SHARE = 0.3
/** Callers reconnect within about this time. */
const MIN_FORECAST_DELAY_MS = 100
/** Boxes refuse early retries without asking for this share of the time in which the queue is expected to be empty, because a forecast can be late. */
const BUSY_SHARE = 0.5

/** Builds refusals, each with a retry delay at which a slot is expected. */
export class RefusalBuilder {
  readonly #opts: RefusalBuilderOptions

  constructor (opts: RefusalBuilderOptions) {
    this.#opts = opts
  }

  refuse ({ request, firstArrivedAtMs }: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string, { waitingCount, nowMs }: QueueState): PlacementRefusal {
    const { forecast, retrySchedule, pausedForMs } = this.#opts
    const returnKey = returnKeyOf(request)
    // Another attempt of the request may have been refused while this one waited.
    const remainingMs = retrySchedule.remainingMs(returnKey, nowMs)
    if (remainingMs !== undefined) return this.#refusal(request, reason, remainingMs, { waitingCount, nowMs })
    const slots = forecast.forRequest(request, nowMs)
    // A pause is expected to last for as long again.
    const pauseLeftMs = pausedForMs(nowMs)
    const slotMs = (promised: number) => pauseLeftMs + slots.lateSlotMs(waitingCount + promised)
    const retryAfterMs = retrySchedule.schedule({
      returnId: returnKey,
      firstArrivedAtMs: Math.min(firstArrivedAtMs, nowMs),
      slotMs,
      // A request that is refused though a slot is free gains nothing from an early retry.
      minDelayMs: forecast.isKnown(nowMs) && slotMs(0) > 0 ? MIN_FORECAST_DELAY_MS : undefined,
      reservedSlotMs: (promised) => pauseLeftMs + slots.slotMs(waitingCount - 1 + (promised + 1) / RETRY_CAPACITY_SHARE),
      graceMs: PROMISE_DUE_SHARE * Math.max(request.ttftLeftMs, request.patienceMs ?? 0),
      maxHonouredDelayMs: MAX_RETRY_DELAY_SHARE * request.deadlineMs,
    }, nowMs)
    return this.#refusal(request, reason, retryAfterMs, { waitingCount, nowMs })
  }

  /** Answers a retry that arrived before its retry delay has passed. */
  refuseEarly (request: ReserveRequest, remainingMs: number, state: QueueState): PlacementRefusal {
    return this.#refusal(request, 'retried before its retry delay has passed', remainingMs, state)
  }

  #refusal (request: ReserveRequest, reason: string, delayMs: number, { waitingCount, nowMs }: QueueState): PlacementRefusal {
    const retryAfterMs = Math.round(delayMs)
    const emptyInMs = waitingCount > 0 ? this.#opts.forecast.forRequest(request, nowMs).slotMs(waitingCount) : 0
    return { outcome: PlacementOutcome.Refused, reason, retryAfterMs, busyForMs: Math.round(Math.min(retryAfterMs, BUSY_SHARE * emptyInMs)) }
  }
}
