import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent, RateLimiter } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type OversizedAnswerListener } from './readAnswer.js'

export interface OversizedAnswerLogOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

/** A small part of a box's log rate limit. */
const MAX_LINES_PER_SECOND = 5

/** Returns a listener that counts oversized answers and logs them at a limited rate. */
export function oversizedAnswerLog ({ clock, log, metrics }: OversizedAnswerLogOptions): OversizedAnswerListener {
  const rate = new RateLimiter({ nowMs: () => clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  return ({ kind, address, maxBytes, readBytes }) => {
    metrics.count('reelspan_oversized_answers_total', { answer: kind })
    if (rate.tryAcquire()) log.warn(LogEvent.AnswerOversized, { answer: kind, address, maxBytes, readBytes })
  }
}
