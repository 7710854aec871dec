import { type Clock } from '@reelspan/core.env'
import { RequestBudget, SlowCallers } from '@reelspan/net.byte-budget'
import { type Log, LogEvent, RateLimiter } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { readUndelivered } from './readUndelivered.js'
import { type RequestPart } from './requestTimeGuard.js'

export interface MemoryLimitsOptions {
  clock: Clock
  answerBytes: number
  requestBytes: number
  slowCallerMs: number
  log?: Log
  metrics?: Metrics
}

/** A small part of a box's log rate limit. */
const MAX_LINES_PER_SECOND = 5

/** What bounds the memory that callers make a box use, for both of its interfaces. */
export interface MemoryLimits {
  callers: SlowCallers
  requests: RequestBudget
  recordSlowRequest: (part: RequestPart) => void
}

/** Creates the budgets of a box, with their log lines and metrics. */
export function createMemoryLimits ({ clock, answerBytes, requestBytes, slowCallerMs, log, metrics }: MemoryLimitsOptions): MemoryLimits {
  const rate = new RateLimiter({ nowMs: () => clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  const callers = new SlowCallers({
    clock,
    answerBytes,
    slowCallerMs,
    readUndelivered,
    onShortChanged: (short, usedBytes) => log?.warn(LogEvent.AnswerBudgetShort, { short, usedBytes, budgetBytes: answerBytes }),
    onDisconnected: ({ request, reason, bufferedBytes, stalledMs, budgetUsedBytes }) => {
      metrics?.count('reelspan_slow_callers_disconnected_total', { reason })
      log?.warn(LogEvent.SlowCallerDisconnected, { request, reason, bufferedBytes, stalledMs: Math.round(stalledMs), budgetUsedBytes, budgetBytes: answerBytes })
    },
  })
  const requests = new RequestBudget({
    clock,
    totalBytes: requestBytes,
    onRefused: (usedBytes) => {
      metrics?.count('reelspan_request_bodies_refused_total', { reason: 'budget' })
      if (rate.tryAcquire()) log?.warn(LogEvent.RequestBodyRefused, { reason: 'budget', usedBytes, budgetBytes: requestBytes })
    },
  })
  metrics?.gauge('reelspan_answer_buffered_bytes', () => callers.budget.usedBytes)
  metrics?.gauge('reelspan_answer_budget_bytes', () => answerBytes)
  metrics?.gauge('reelspan_upstreams_paused', () => callers.budget.pausedCount)
  metrics?.gauge('reelspan_request_body_bytes', () => requests.usedBytes)
  return {
    callers,
    requests,
    recordSlowRequest: (part) => {
      metrics?.count('reelspan_request_bodies_refused_total', { reason: part })
      if (rate.tryAcquire()) log?.warn(LogEvent.RequestBodyRefused, { reason: part })
    },
  }
}
