import { AnswerBoundExceeded, UpstreamError } from '@reelspan/upstream.client'

/** Whether an exchange was ended since its answer exceeded a bound. */
export function exceedsBound (thrown: unknown): boolean {
  return thrown instanceof UpstreamError && thrown.cause instanceof AnswerBoundExceeded
}
