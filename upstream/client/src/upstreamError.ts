import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'

/** A call to an upstream failed. Its verdict is `notRun` only when the upstream is known not to have begun. */
export class UpstreamError extends ReelspanError {
  /** The upstream answered, and its answer was no. */
  readonly refused: boolean

  constructor (message: string, opts: { mayHaveRun: boolean, refused?: boolean, cause?: unknown }) {
    super(ErrorCode.UpstreamFailed, message, {
      verdict: opts.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
      cause: opts.cause,
    })
    this.refused = opts.refused ?? false
  }
}
