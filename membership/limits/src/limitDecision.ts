/** Who decided whether a cost is within a limit. */
export enum LimitDecider {
  /** The box that keeps the token bucket of the limit for all boxes. */
  Coordinator = 'coordinator',
  /** A box that keeps a small allowance for the time in which the coordinator is unknown or does not answer. */
  StandIn = 'standIn',
  /** The box that received the request, with its own share, since no other box answered. */
  ThisBox = 'thisBox',
}

/** A decision on one cost. */
export interface LimitDecision {
  /** 0 if the cost was acquired, otherwise the time until a decision can be better. */
  waitMs: number
  decider: LimitDecider
  /** Share of the limit with which it was decided, if known. */
  share?: number
}
