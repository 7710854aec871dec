import { UpstreamError } from '@reelspan/upstream.client'

/** Result of an order. */
export enum OrderOutcome {
  Accepted = 'accepted',
  Refused = 'refused',
  /** The engine may or may not have accepted the order. */
  NotAnswered = 'notAnswered',
  /** The lease was lost before the order was sent. */
  NotSent = 'notSent',
}

/** Result of an order whose call failed. */
export function outcomeOf (thrown: unknown): OrderOutcome {
  return thrown instanceof UpstreamError && thrown.refused ? OrderOutcome.Refused : OrderOutcome.NotAnswered
}
