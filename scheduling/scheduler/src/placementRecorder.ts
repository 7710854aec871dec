import { isOwnPrefill } from '@reelspan/core.messages'
import { type ShardLedger } from '@reelspan/scheduling.ledger'
import { type PrefixIndex } from '@reelspan/scheduling.prefix-index'
import { type EngineLimits } from './engineLimits.js'
import { entryOfEstimate } from './placementEntries.js'
import { type PlacementEstimate, type PlacementEstimator } from './placementEstimator.js'
import { type PlacementObservations } from './placementObservations.js'
import { type QueueShares } from './queueShares.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface PlacementRecorderOptions {
  ledger: ShardLedger
  estimator: PlacementEstimator
  index: PrefixIndex
  limits: EngineLimits
  observations: PlacementObservations
  shares: QueueShares
  /** Called when the prefixes cached at an engine have changed. */
  onPrefixesChanged: (engine: string) => void
}

/** Records a placement wherever later placements depend on it. */
export class PlacementRecorder {
  readonly #opts: PlacementRecorderOptions

  constructor (opts: PlacementRecorderOptions) {
    this.#opts = opts
  }

  record ({ request }: WaitingRequest, estimate: PlacementEstimate, nowMs: number): void {
    const { ledger, estimator, index, limits, observations, shares, onPrefixesChanged } = this.#opts
    const { prefill, decode, costMs, kvBytes } = estimate
    const entry = entryOfEstimate(request, estimate, nowMs)
    ledger.reserve(entry, nowMs)
    limits.recordPlacement([prefill.name, decode.name])
    if (!isOwnPrefill(entry)) {
      index.recordSent(prefill.name, request.prefixes, nowMs)
      onPrefixesChanged(prefill.name)
    }
    shares.recordReservation(request, entry, { ageMs: 0 }, nowMs)
    observations.recordPlacement({
      prefillMs: isOwnPrefill(entry) ? estimator.prefillCostMs(request, prefill.name, nowMs) : costMs,
      typicalAnswerMs: estimator.typicalAnswerMs(request),
      kvBytes,
    })
  }
}
