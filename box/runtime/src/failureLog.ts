import { type Clock } from '@reelspan/core.env'
import { errorMessage } from '@reelspan/core.error'
import { type Log, LogEvent, type LogFields, RateLimiter } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'

/** A failed call that no request waits for, or that its caller recovers from. */
export interface FailedCall {
  event: LogEvent.EngineCallFailed | LogEvent.PeerCallFailed
  call: string
  /** Address of the called box or engine, and its name if known. */
  target: LogFields & { address: string }
}

export interface FailureLogOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

interface LoggedFailure {
  loggedAtMs: number
  /** Failures since the last log line. */
  unlogged: number
}

/** Minimum interval between log lines for the same failure. One line a minute is enough for operators. */
const REPEAT_INTERVAL_MS = 60_000
/** A small part of a box's log rate limit, so that failures do not displace the trace lines of requests. */
const MAX_LINES_PER_SECOND = 20
/** More than the number of boxes and engines that one box calls in a minute. */
const MAX_TRACKED_FAILURES = 5000

/**
 * Logs failed calls that their callers recover from, and background tasks that failed unexpectedly, at a limited rate.
 * The metrics count every failure.
 */
export class FailureLog {
  readonly #opts: FailureLogOptions
  readonly #rate: RateLimiter
  readonly #logged = new Map<string, LoggedFailure>()

  constructor (opts: FailureLogOptions) {
    this.#opts = opts
    this.#rate = new RateLimiter({ nowMs: () => opts.clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  }

  recordCall ({ event, call, target }: FailedCall, thrown: unknown): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_calls_failed_total', { event, call })
    const times = this.#countToLog(`${call} ${target.address}`)
    if (times > 0) log.warn(event, { call, ...target, reason: errorMessage(thrown), times })
  }

  /** Records an unexpected error that a background task threw. */
  recordTask (task: string, thrown: unknown): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_tasks_failed_total', { task })
    const times = this.#countToLog(`task ${task}`)
    if (times > 0) log.warn(LogEvent.TaskFailed, { task, reason: errorMessage(thrown), at: innermostFrame(thrown), times })
  }

  /** Number of failures that a log line written now reports, or 0 if no line may be written yet. */
  #countToLog (key: string): number {
    const nowMs = this.#opts.clock.nowMs()
    const previous = this.#logged.get(key) ?? { loggedAtMs: Number.NEGATIVE_INFINITY, unlogged: 0 }
    const times = previous.unlogged + 1
    const isLogged = nowMs - previous.loggedAtMs >= REPEAT_INTERVAL_MS && this.#rate.tryAcquire()
    this.#logged.delete(key)
    this.#logged.set(key, isLogged ? { loggedAtMs: nowMs, unlogged: 0 } : { ...previous, unlogged: times })
    this.#evictLeastRecentlyFailed()
    return isLogged ? times : 0
  }

  #evictLeastRecentlyFailed (): void {
    if (this.#logged.size <= MAX_TRACKED_FAILURES) return
    const [leastRecentlyFailed] = this.#logged.keys()
    this.#logged.delete(leastRecentlyFailed)
  }
}

/** Innermost frame of an error's stack trace. */
function innermostFrame (thrown: unknown): string | undefined {
  return thrown instanceof Error ? thrown.stack?.split('\n').find((line) => line.trimStart().startsWith('at '))?.trim() : undefined
}
