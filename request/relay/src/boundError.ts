import { LogEvent } from '@reelspan/telemetry.log'
import { AnswerBoundExceeded, UpstreamError } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** Counts and logs an answer of `sender` that exceeds a bound, and returns the error that ends its exchange. Returns anything else that was thrown as it is. */
export function boundError ({ opts: { metrics }, logDecision }: Pick<RelayContext, 'opts' | 'logDecision'>, sender: string, readBytes: number, thrown: unknown): unknown {
  if (!(thrown instanceof AnswerBoundExceeded)) return thrown
  const { bound, limit } = thrown
  metrics.count('reelspan_oversized_answers_total', { answer: bound })
  logDecision(LogEvent.AnswerOversized, { answer: bound, upstream: sender, limit, readBytes })
  return new UpstreamError(`${sender} sent ${readBytes} bytes: ${thrown.message}`, { mayHaveRun: true, cause: thrown })
}
