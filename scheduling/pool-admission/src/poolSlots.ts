import { type PoolCallOutcome } from '@reelspan/core.messages'

/** A call to a service pool. */
export interface PoolRequest {
  pool: string
  /** Client account; empty if the request has none. */
  account: string
  /** 0 is the most urgent. */
  urgency: number
  /** Remaining time in which an answer is in time. */
  inTimeMs: number
  /** Remaining time until the deadline. */
  usefulMs: number
  /** Identifies the request over its caller's attempts. Only called if needed. */
  returnId: () => string
}

/** A call that may be sent to an upstream. Must be released once. */
export interface PoolSlot {
  readonly upstream: string
  /** @param durationMs time from sending the call to the head of its answer */
  release (outcome: PoolCallOutcome, durationMs?: number): void
}

export enum SlotDecision {
  Granted = 'granted',
  /** This box chooses the upstream itself. */
  OwnChoice = 'ownChoice',
  Refused = 'refused',
}

export type SlotAnswer =
  | { decision: SlotDecision.Granted, slot: PoolSlot }
  | { decision: SlotDecision.OwnChoice }
  | { decision: SlotDecision.Refused, retryAfterMs: number, overShare?: boolean, decidedBy: string }

/** How long a call took. */
export interface CallDuration {
  durationMs: number
  targetMs: number
  /** Number of upstreams of the pool. */
  upstreamCount: number
}

/** Decides which upstreams of service pools take the calls of one box, where a pool is short of capacity. */
export abstract class PoolSlots {
  /** Whether calls to a pool have to acquire slots. */
  abstract isShort (pool: string): boolean

  /** Acquires a slot of a pool that is short of capacity. */
  abstract acquire (request: PoolRequest, avoid: readonly string[], signal: AbortSignal): Promise<SlotAnswer>

  /** Registers a call to an upstream that this box has chosen itself. */
  abstract track (request: PoolRequest, upstream: string): PoolSlot

  /** Records an answered call. */
  abstract recordAnswer (pool: string, upstream: string, call: CallDuration): void

  /** Records that an upstream refused a call as full. */
  abstract recordFull (pool: string): void
}
