import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent, RateLimiter } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'

export interface ForeignAnswerLogOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

/** An answer that belonged to another request than the one sent on its connection. */
export interface LoggedForeignAnswer {
  /** Of the upstream that sent it. */
  address: string
  status: number
  /** Number of the connection, and of the exchange on it. */
  connection: number
  exchange: number
}

/** A small part of a box's log rate limit. */
const MAX_LINES_PER_SECOND = 5

/** Returns a function that counts foreign answers and logs them at a limited rate. */
export function foreignAnswerLog ({ clock, log, metrics }: ForeignAnswerLogOptions): (answer: LoggedForeignAnswer) => void {
  const rate = new RateLimiter({ nowMs: () => clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  return (answer) => {
    metrics.count('reelspan_foreign_answers_total')
    if (rate.tryAcquire()) log.warn(LogEvent.AnswerForeign, { ...answer })
  }
}
