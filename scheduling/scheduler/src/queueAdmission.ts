import { type PlacementRefusal, type ReserveRequest } from '@reelspan/core.messages'
import { type ShardLedger } from '@reelspan/scheduling.ledger'
import { decideQueue, type PriorityShares, type QueueDecision } from './decideQueue.js'
import { type PlacementChooser } from './placementChooser.js'
import { type PlacementEstimator } from './placementEstimator.js'
import { PlacementRate } from './placementRate.js'
import { PromisedRetries } from './promisedRetries.js'
import { type AnswerLengthEstimator } from './answerLengthEstimator.js'
import { returnKeyOf } from './earlyRetry.js'
import { QueueForecast } from './queueForecast.js'
import { type QueueShares } from './queueShares.js'
import { RecentEvents } from './recentEvents.js'
import { type QueueState, RefusalBuilder } from './refusalBuilder.js'
import { RetrySchedule, type ScheduledRetry } from './retrySchedule.js'
import { ShardForecast } from './shardForecast.js'
import { type TokenPaceEstimator } from './tokenPaceEstimator.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface QueueAdmissionOptions {
  ledger: ShardLedger
  chooser: PlacementChooser
  estimator: PlacementEstimator
  shares: QueueShares
  lengths: AnswerLengthEstimator
  pace: TokenPaceEstimator
  waiting: () => readonly WaitingRequest[]
}

/** Engines report and callers reconnect within about this time, so little changes for a retry before it. */
const MIN_RETRY_DELAY_MS = 500
const MAX_RETRY_DELAY_MS = 30_000
/** Window for counting arrivals: tens of them on a busy shard, and short enough to show a burst. */
const ARRIVALS_WINDOW_MS = 2000

/** Decides which requests of a scheduler's queue are kept waiting, and when refused ones should be retried. */
export class QueueAdmission {
  readonly #opts: QueueAdmissionOptions
  readonly #rate = new PlacementRate()
  /** Requests that were within their clients' shares when they arrived. */
  readonly #arrivedWithin = new RecentEvents(ARRIVALS_WINDOW_MS)
  readonly #retrySchedule = new RetrySchedule({ minDelayMs: MIN_RETRY_DELAY_MS, maxDelayMs: MAX_RETRY_DELAY_MS })
  readonly #promised = new PromisedRetries()
  readonly #forecast: QueueForecast
  readonly #slotForecast: ShardForecast
  readonly #refusals: RefusalBuilder

  constructor (opts: QueueAdmissionOptions) {
    this.#opts = opts
    const { ledger, chooser, estimator, lengths, pace, waiting } = opts
    this.#forecast = new QueueForecast({ ledger, chooser })
    this.#slotForecast = new ShardForecast({ ledger, chooser, estimator, lengths, pace, rate: this.#rate, waiting })
    this.#refusals = new RefusalBuilder({ forecast: this.#slotForecast, retrySchedule: this.#retrySchedule, pausedForMs: (nowMs) => ledger.pausedForMs(nowMs) })
  }

  get scheduledRetries (): number {
    return this.#retrySchedule.size
  }

  /** Returns the scheduled retry that a request is, if it is one at about the assigned time. */
  findRetry (request: ReserveRequest, nowMs: number): ScheduledRetry | undefined {
    return this.#retrySchedule.findDue(returnKeyOf(request), nowMs)
  }

  /** Time until the retry delay of a refused request has passed; undefined if it was not refused, or the delay has passed. */
  remainingRetryMs (request: ReserveRequest, nowMs: number): number | undefined {
    return this.#retrySchedule.remainingMs(returnKeyOf(request), nowMs)
  }

  /** Called when a reservation, an engine or a waiting request has changed. */
  recordChange (): void {
    this.#slotForecast.recordChange()
  }

  /** Records a first attempt; retries are not counted. */
  recordArrival (nowMs: number): void {
    this.#rate.recordArrival(nowMs)
  }

  /** Returns how much later the first token is expected than it was forecast when the request was kept; undefined if it did not wait. */
  recordPlacement (waiting: WaitingRequest, firstTokenAtMs: number, nowMs: number): number | undefined {
    const returnKey = returnKeyOf(waiting.request)
    this.#retrySchedule.remove(returnKey)
    this.#promised.remove(returnKey)
    this.#rate.recordPlacement(nowMs)
    this.#slotForecast.recordChange()
    return this.#slotForecast.recordPlacement(waiting, firstTokenAtMs)
  }

  /** Compares a decision with what was forecast when the request was kept. */
  recordDecision ({ waiting, decision }: QueueDecision, nowMs: number): void {
    this.#slotForecast.recordDecision(waiting, decision, nowMs)
  }

  /** Records that no request waits. */
  recordIdle (nowMs: number): void {
    this.#rate.recordIdle(nowMs)
  }

  expire (nowMs: number): void {
    this.#retrySchedule.expire(nowMs)
    this.#promised.expire(nowMs)
  }

  /** Records whether a request was within its client's share when it arrived. */
  recordShare (waiting: WaitingRequest, nowMs: number): void {
    if (!this.#opts.shares.isOverShare(waiting)) this.#arrivedWithin.record(nowMs)
  }

  /** Total prefill work of all waiting requests. */
  queuedPrefillMs (waiting: readonly WaitingRequest[], nowMs: number): number {
    return this.#forecast.queuedPrefillMs(waiting, nowMs)
  }

  /** Decides for each waiting request whether it is kept. */
  decide (waiting: readonly WaitingRequest[], nowMs: number): QueueDecision[] {
    const { chooser, shares } = this.#opts
    const engines = chooser.expectedEngines(nowMs)
    const msPerPlace = this.#msPerSlot(nowMs)
    const withinPerMs = this.#arrivedWithin.countSince(nowMs - ARRIVALS_WINDOW_MS, nowMs) / ARRIVALS_WINDOW_MS
    return decideQueue(waiting, {
      nowMs,
      msPerPlace,
      msPerArrival: this.#rate.msPerArrival(nowMs),
      rateError: this.#rate.error(nowMs),
      minTtftMs: (one) => this.#forecast.minTtftMs(one, engines, nowMs),
      forecastOf: this.#slotForecast.isKnown(nowMs)
        ? (one) => ({
            forecast: this.#slotForecast.forRequest(one.request, nowMs),
            handoverMs: this.#forecast.fromSlotMs(one, engines, nowMs),
            newcomerError: this.#slotForecast.correction.error,
            // The rates are counted over few requests at the start of a queue; the forecast does not depend on them.
            rateError: Math.abs(this.#slotForecast.correction.error),
          })
        : undefined,
      shareRankOf: (one) => shares.rankOf(one),
      slotsUntilShare: (one) => shares.slotsUntilShare(one),
      slotShareForOthers: Math.max(0, 1 - withinPerMs * msPerPlace),
      sharesOf: (priority) => this.#sharesOf(priority, nowMs),
    })
  }

  /**
   * Mean time between free slots. Slots that were taken together become free together, so for a while none does, and
   * the counted rate would refuse requests of accounts within their shares. While accounts compete, the rate that
   * follows from the slots held now is the lower bound, unless none became free for as long as slots are held.
   */
  #msPerSlot (nowMs: number): number {
    const { ledger, shares } = this.#opts
    const countedMs = this.#rate.msPerPlace(nowMs, ledger.reservationCount)
    const held = shares.isContended(nowMs) ? shares.heldSlots() : undefined
    return held && countedMs < held.meanHoldMs ? Math.min(countedMs, held.msPerSlot) : countedMs
  }

  #sharesOf (priority: number, nowMs: number): PriorityShares {
    const { shares } = this.#opts
    const { lastSeconds } = shares.ofPriority(priority)
    const all = shares.ofAll().lastSeconds
    // Without contention all arrivals and promises count, as without accounts.
    const isContended = shares.isContended(nowMs)
    const partOf = (demand: number) => isContended ? demand / all.totalDemand(nowMs) : 1
    const isWithinShare = (client: string) => !shares.ofPriority(priority).wouldExceed(client, nowMs)
    return {
      shareOf: (client) => shares.ofPriority(priority).shareOf(client, nowMs),
      arrivalsOf: (client) => partOf(lastSeconds.demandOf(client, nowMs)),
      arrivalsWithinShares: partOf(lastSeconds.demandWithinShares(nowMs)),
      promisesDueAtMs: (client) => this.#promised.precedeAtMs((promised) =>
        (!isContended || promised.priority >= priority) && (client === undefined ? isWithinShare(promised.client) : client === promised.client), nowMs),
    }
  }

  refuse (refused: Pick<WaitingRequest, 'request' | 'firstArrivedAtMs'>, reason: string, state: QueueState): PlacementRefusal {
    const { request } = refused
    const { nowMs } = state
    const refusal = this.#refusals.refuse(refused, reason, state)
    const returnKey = returnKeyOf(request)
    const retry = this.#retrySchedule.findDue(returnKey, nowMs + refusal.retryAfterMs)
    if (retry?.promised) this.#promised.record(returnKey, { client: request.client, priority: request.priority, dueAtMs: retry.dueAtMs, precedesAtMs: retry.precedesAtMs })
    this.#opts.shares.recordRefusal(request, nowMs)
    return refusal
  }

  /** Answers a retry that arrived before its retry delay has passed. Its retry time stays. */
  refuseEarly (request: ReserveRequest, remainingMs: number, state: QueueState): PlacementRefusal {
    return this.#refusals.refuseEarly(request, remainingMs, state)
  }
}
