import { type MessageOf, type MessageType, PlacementOutcome, type PlacementPlan, type ReserveRequest } from '@reelspan/core.messages'
import { type LedgerEntry } from '@reelspan/scheduling.ledger'
import { type Shard } from '@reelspan/scheduling.shards'
import { type PlacementEstimate } from './placementEstimator.js'

export type AdoptedReservation = MessageOf<MessageType.AdoptReservations>['reservations'][number]

/** An owner must start the prefill within this time after it gets a plan. */
const START_WITHIN_MS = 300
/** A reservation expires this long after its request's deadline. */
const RESERVATION_GRACE_MS = 1000

/** The reservation of a request that is placed as estimated. */
export function entryOfEstimate (request: ReserveRequest, estimate: PlacementEstimate, nowMs: number): LedgerEntry {
  return {
    label: request.label,
    maxTokens: request.maxTokens,
    tbtTargetMs: request.tbtTargetMs,
    prefillEngine: estimate.prefill.name,
    decodeEngine: estimate.decode.name,
    kvBytes: estimate.kvBytes,
    prefillCostMs: estimate.costMs,
    prefill: { placedAtMs: nowMs, endMs: estimate.prefillEndMs },
    importEndMs: estimate.importEndMs,
    expectedEndMs: estimate.expectedEndMs,
    expiresAtMs: nowMs + request.deadlineMs + RESERVATION_GRACE_MS,
  }
}

/** The reservation of a request that the shard's previous scheduler placed. */
export function entryOfAdopted ({ spec, decodePool }: Shard, { request, plan, ageMs, decoding, tokensDone }: AdoptedReservation, nowMs: number): LedgerEntry {
  const stepMs = spec.decodeStepBaseMs + spec.decodeStepPerRequestMs * decodePool.placesPerEngine
  const prefillEndMs = decoding ? nowMs : nowMs - ageMs + plan.expectedTtftMs
  return {
    label: request.label,
    maxTokens: request.maxTokens,
    tbtTargetMs: request.tbtTargetMs,
    prefillEngine: plan.prefillEngine,
    decodeEngine: plan.decodeEngine,
    kvBytes: plan.kvBytes,
    prefillCostMs: decoding ? 0 : Math.max(0, prefillEndMs - nowMs),
    importEndMs: prefillEndMs,
    expectedEndMs: prefillEndMs + (request.maxTokens - tokensDone) * stepMs,
    expiresAtMs: nowMs - ageMs + request.deadlineMs + RESERVATION_GRACE_MS,
  }
}

/** The plan that the owner of a placed request gets. */
export function planOfEstimate (estimate: PlacementEstimate, nowMs: number): PlacementPlan {
  return {
    outcome: PlacementOutcome.Placed,
    prefillEngine: estimate.prefill.name,
    prefillAddress: estimate.prefill.address,
    decodeEngine: estimate.decode.name,
    decodeAddress: estimate.decode.address,
    kvBytes: estimate.kvBytes,
    startInMs: 0,
    startWithinMs: START_WITHIN_MS,
    expectedTtftMs: Math.max(0, estimate.firstTokenMs - nowMs),
  }
}
