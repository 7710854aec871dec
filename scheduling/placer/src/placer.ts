import { type EngineOutcome, type PlacementPlan, type PlacementReport, type PlacementRefusal, type ReserveRequest } from '@reelspan/core.messages'

/** A request to be placed. The placer chooses the shard. */
export type PlaceRequest = Omit<ReserveRequest, 'shardId'> & { model: string }

export interface PlaceOptions {
  signal: AbortSignal
}

/** A plan and the callbacks to report on it and to release it. */
export interface Placement {
  plan: PlacementPlan
  /** The box whose scheduler placed the request, or a label if it was placed without a scheduler. */
  placedBy: string
  /** Reports that the prefill has ended, so that its engine can start another one. */
  recordPrefillEnd: () => void
  /** Reports outcomes at the engines of a placement that stays reserved. */
  recordOutcomes: (outcomes: readonly EngineOutcome[]) => void
  /** Releases the reservation. Called exactly once however the request ends, with the outcomes of its engines and, if it finished, a report. */
  release: (report?: PlacementReport, outcomes?: readonly EngineOutcome[]) => void
  /** Reports that `tokensDone` tokens of the decode stream were received so far. */
  recordProgress: (tokensDone: number) => void
}

/** Decides on which engines requests run. */
export abstract class Placer {
  /** Reserves capacity for the request, or refuses it with a retry delay. */
  abstract place (request: PlaceRequest, opts: PlaceOptions): Promise<Placement | PlacementRefusal>
}
