import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'

export interface UpstreamErrorOptions {
  mayHaveRun: boolean
  refused?: boolean
  full?: boolean
  unreachable?: boolean
  failed?: boolean
  cause?: unknown
}

/** A call to an upstream failed. The verdict is `notRun` only if the upstream is known not to have started the request. */
export class UpstreamError extends ReelspanError {
  /** The upstream answered with a refusal. */
  readonly refused: boolean
  /** It refused because it has no capacity, as opposed to requests for another start of it. */
  readonly full: boolean
  /** The upstream could not be reached or became unresponsive, as opposed to sending an invalid answer. */
  readonly unreachable: boolean

  /** The upstream answered that it ran the request and that the request failed. */
  readonly failed: boolean

  /** The request was sent, and the answer was interrupted or did not arrive. */
  get interrupted (): boolean {
    return this.verdict === Verdict.MayHaveRun && !this.refused && !this.failed
  }

  constructor (message: string, { mayHaveRun, refused, full, unreachable, failed, cause }: UpstreamErrorOptions) {
    super(ErrorCode.UpstreamFailed, message, {
      verdict: mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
      cause,
    })
    this.refused = refused ?? false
    this.full = full ?? false
    this.unreachable = unreachable ?? false
    this.failed = failed ?? false
  }
}
