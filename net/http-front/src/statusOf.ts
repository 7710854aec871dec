import { ErrorCode, Verdict } from '@reelspan/core.error'

const STATUS_OF_CODE: Partial<Record<ErrorCode, number>> = {
  [ErrorCode.BadRequest]: 400,
  [ErrorCode.KeyInvalid]: 400,
  [ErrorCode.Unauthorized]: 401,
  [ErrorCode.AccountKey]: 401,
  [ErrorCode.NoRoute]: 404,
  [ErrorCode.RequestTooSlow]: 408,
  [ErrorCode.KeyExpired]: 410,
  [ErrorCode.OwnerReplaced]: 409,
  [ErrorCode.BodyTooLarge]: 413,
  [ErrorCode.KeyReused]: 422,
  [ErrorCode.KeyRequired]: 428,
  [ErrorCode.Overloaded]: 429,
  [ErrorCode.AccountLimit]: 429,
  [ErrorCode.Cancelled]: 499,
  [ErrorCode.Internal]: 500,
  [ErrorCode.DeadlinePassed]: 504,
}
const NOT_RUN_STATUS = 503
const MAY_HAVE_RUN_STATUS = 502

/** Returns the HTTP status for a request that did not finish. */
export function statusOf (code: ErrorCode | undefined, verdict: Verdict): number {
  const known = code && STATUS_OF_CODE[code]
  return known ?? (verdict === Verdict.NotRun ? NOT_RUN_STATUS : MAY_HAVE_RUN_STATUS)
}
