import { type EngineOutcome, type PlacementPlan, type PlacementReport, type PlacementRefusal, type ReserveRequest } from '@reelspan/core.messages'

/** A request to be placed. The placer finds the shard. */
export type PlaceRequest = Omit<ReserveRequest, 'shardId'> & { model: string }

export interface PlaceOptions {
  signal: AbortSignal
}

/** A plan and the means to give it back. */
export interface Placement {
  plan: PlacementPlan
  /** Who placed it: a scheduler's box, or this box alone. */
  placedBy: string
  /** The prefill has ended: its engine is free for another one. */
  prefilled: () => void
  /** Ends the reservation. Called once on every way out, with how its engines answered and a report of a request that finished. */
  release: (report?: PlacementReport, outcomes?: readonly EngineOutcome[]) => void
  /** The decode stream runs: `tokensDone` tokens were received so far. */
  progressed: (tokensDone: number) => void
}

/** Decides where requests run. */
export abstract class Placer {
  /** Reserves what the request needs, or refuses it with a time to return. */
  abstract place (request: PlaceRequest, opts: PlaceOptions): Promise<Placement | PlacementRefusal>
}
