import { ErrorCode } from './errorCode.js'
import { Verdict } from './verdict.js'

export interface ReelspanErrorOptions {
  /** How the reader can resolve the problem. */
  hint?: string
  /** Whether the failed request has run. Defaults to `notRun`. */
  verdict?: Verdict
  /** When the caller should retry, in milliseconds from now. */
  retryAfterMs?: number
  /** No later attempt will succeed, so that the caller gets no retry delay. */
  retryFutile?: boolean
  cause?: unknown
}

/** The only error class that is thrown across package boundaries. */
export class ReelspanError extends Error {
  readonly code: ErrorCode
  readonly verdict: Verdict
  readonly hint?: string
  readonly retryAfterMs?: number
  readonly retryFutile: boolean

  constructor (code: ErrorCode, message: string, opts: ReelspanErrorOptions = {}) {
    super(message, opts.cause === undefined ? undefined : { cause: opts.cause })
    this.name = 'ReelspanError'
    this.code = code
    this.verdict = opts.verdict ?? Verdict.NotRun
    this.hint = opts.hint
    this.retryAfterMs = opts.retryAfterMs
    this.retryFutile = opts.retryFutile ?? false
  }
}

/** Returns the message of any thrown value. */
export function errorMessage (thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}

/** Wraps any thrown value. An unknown error proves nothing about the request, so its verdict is `mayHaveRun`. */
export function toReelspanError (thrown: unknown): ReelspanError {
  if (thrown instanceof ReelspanError) return thrown
  return new ReelspanError(ErrorCode.Internal, errorMessage(thrown), { verdict: Verdict.MayHaveRun, cause: thrown })
}
