import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent, RateLimiter } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'

export interface OversizedAnswerLogOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

/** An answer, or a part of one, that is larger than any valid one. */
export interface LoggedOversize {
  /** What was oversized. */
  answer: string
  /** Of the server that sent it. */
  address: string
  /** In bytes, or the maximum number of what is counted. */
  limit: number
  readBytes: number
}

/** A small part of a box's log rate limit. */
const MAX_LINES_PER_SECOND = 5

/** Returns a function that counts oversized answers and logs them at a limited rate. */
export function oversizedAnswerLog ({ clock, log, metrics }: OversizedAnswerLogOptions): (oversize: LoggedOversize) => void {
  const rate = new RateLimiter({ nowMs: () => clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  return ({ answer, ...fields }) => {
    metrics.count('reelspan_oversized_answers_total', { answer })
    if (rate.tryAcquire()) log.warn(LogEvent.AnswerOversized, { answer, ...fields })
  }
}
