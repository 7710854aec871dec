/** Headers of callers' requests and answers. */
export enum Header {
  IdempotencyKey = 'idempotency-key',
  /** The client account that the request counts for. */
  Client = 'reelspan-client',
  /** `true` marks a single request as one that may run at most once. */
  NotRepeatable = 'reelspan-not-repeatable',
  /** After this many milliseconds the caller no longer wants the answer. */
  DeadlineMs = 'reelspan-deadline-ms',
  Verdict = 'reelspan-verdict',
  Code = 'reelspan-code',
  RetryAfterMs = 'reelspan-retry-after-ms',
  RetryAfter = 'retry-after',
}
