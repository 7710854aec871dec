import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'

export interface UpstreamErrorOptions {
  mayHaveRun: boolean
  refused?: boolean
  unreachable?: boolean
  failed?: boolean
  cause?: unknown
}

/** A call to an upstream failed. Its verdict is `notRun` only when the upstream is known not to have begun. */
export class UpstreamError extends ReelspanError {
  /** The upstream answered, and its answer was no. */
  readonly refused: boolean
  /** The upstream could not be reached or fell silent, as opposed to answering wrongly. */
  readonly unreachable: boolean

  /** The upstream answered that it ran the request and failed. */
  readonly failed: boolean

  /** The upstream was sent the request, and its answer broke off or did not come. */
  get brokeOff (): boolean {
    return this.verdict === Verdict.MayHaveRun && !this.refused && !this.failed
  }

  constructor (message: string, { mayHaveRun, refused, unreachable, failed, cause }: UpstreamErrorOptions) {
    super(ErrorCode.UpstreamFailed, message, {
      verdict: mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
      cause,
    })
    this.refused = refused ?? false
    this.unreachable = unreachable ?? false
    this.failed = failed ?? false
  }
}
