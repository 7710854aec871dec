import { UpstreamError } from '@reelspan/upstream.client'

/** What became of an order. */
export enum OrderOutcome {
  Accepted = 'accepted',
  Refused = 'refused',
  /** It may have been taken, or not. */
  NotAnswered = 'notAnswered',
  /** The right to order was lost before it was sent. */
  NotSent = 'notSent',
}

/** What became of an order whose call failed. */
export function outcomeOf (thrown: unknown): OrderOutcome {
  return thrown instanceof UpstreamError && thrown.refused ? OrderOutcome.Refused : OrderOutcome.NotAnswered
}
