/** Headers of callers' requests and of their answers. */
export enum Header {
  IdempotencyKey = 'idempotency-key',
  /** The client whose usage the request counts towards. */
  Client = 'reelspan-client',
  /** `true` if the request must run at most once. */
  NotRepeatable = 'reelspan-not-repeatable',
  /** The number of milliseconds after which the caller no longer needs the answer. */
  DeadlineMs = 'reelspan-deadline-ms',
  Verdict = 'reelspan-verdict',
  Code = 'reelspan-code',
  RetryAfterMs = 'reelspan-retry-after-ms',
  RetryAfter = 'retry-after',
}
