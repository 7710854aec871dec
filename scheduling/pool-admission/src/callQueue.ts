/** A call that waits for a slot at an upstream. */
export interface WaitingCall {
  key: string
  account: string
  /** 0 is the most urgent. */
  urgency: number
  avoid: ReadonlySet<string>
  arrivedAtMs: number
  /** An answer until then is in time. */
  inTimeUntilMs: number
  /** An answer until then is useful. */
  usefulUntilMs: number
  /** The caller returns when it was told to. */
  promised: boolean
  /** It equals a call that was refused and is not due yet: a caller that returns too early, or another one that asks for the same. */
  repeated: boolean
  /** Identifies the request over its caller's attempts. */
  returnKey?: string
}

/** How much of the pool accounts use. */
export interface AccountStandings {
  isOverShare: (account: string) => boolean
  /** Calls in flight per unit of weight. */
  heldPerWeight: (account: string) => number
}

/**
 * Compares waiting calls: more urgent ones first; among these, calls of accounts within their share before calls of
 * accounts over it; then those of the account that has the fewest calls in flight for its weight, since an account
 * that gets little because the pool is slow is within its share for that time, and must not displace the others;
 * then promised retries, and repeated calls last, so that early retries displace first attempts of no account; then the
 * earliest time limit.
 */
export function compareCalls (a: WaitingCall, b: WaitingCall, { isOverShare, heldPerWeight }: AccountStandings): number {
  return a.urgency - b.urgency || Number(isOverShare(a.account)) - Number(isOverShare(b.account)) || heldPerWeight(a.account) - heldPerWeight(b.account) || Number(b.promised) - Number(a.promised) || Number(a.repeated) - Number(b.repeated) || a.inTimeUntilMs - b.inTimeUntilMs
}
