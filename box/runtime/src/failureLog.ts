import { type Clock } from '@reelspan/core.env'
import { errorMessage } from '@reelspan/core.error'
import { type Log, LogEvent, type LogFields, RateLimit } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'

/** A call that nobody waits for, or whose failure the caller gets over. */
export interface FailedCall {
  event: LogEvent.EngineCallFailed | LogEvent.PeerCallFailed
  call: string
  /** Who was called: an address, and a name where one is known. */
  target: LogFields & { address: string }
}

export interface FailureLogOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

interface ToldFailure {
  atMs: number
  /** Failures since then that no line has told of. */
  untold: number
}

/** The same failure is told of this often: an engineer looks at minutes. */
const REPEAT_MS = 60_000
/** A small part of the lines that a box may write in a second, so that requests keep their trail. */
const MAX_LINES_PER_SECOND = 20
/** More than the boxes and engines that one box calls in a minute. */
const MAX_REMEMBERED = 5000

/** Tells of calls that failed and were got over, and of tasks that a fault of the program ended, seldom enough for the log. The metrics count each. */
export class FailureLog {
  readonly #opts: FailureLogOptions
  readonly #rate: RateLimit
  readonly #told = new Map<string, ToldFailure>()

  constructor (opts: FailureLogOptions) {
    this.#opts = opts
    this.#rate = new RateLimit({ nowMs: () => opts.clock.nowMs(), perSecond: MAX_LINES_PER_SECOND })
  }

  note ({ event, call, target }: FailedCall, thrown: unknown): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_calls_failed_total', { event, call })
    const times = this.#timesToTell(`${call} ${target.address}`)
    if (times > 0) log.warn(event, { call, ...target, reason: errorMessage(thrown), times })
  }

  /** A task threw what nothing in it expects. */
  noteTask (task: string, thrown: unknown): void {
    const { log, metrics } = this.#opts
    metrics.count('reelspan_tasks_failed_total', { task })
    const times = this.#timesToTell(`task ${task}`)
    if (times > 0) log.warn(LogEvent.TaskFailed, { task, reason: errorMessage(thrown), at: placeOf(thrown), times })
  }

  /** How many failures a line now tells of; 0 when there is to be no line. */
  #timesToTell (key: string): number {
    const nowMs = this.#opts.clock.nowMs()
    const told = this.#told.get(key) ?? { atMs: Number.NEGATIVE_INFINITY, untold: 0 }
    const times = told.untold + 1
    const tells = nowMs - told.atMs >= REPEAT_MS && this.#rate.take()
    this.#told.delete(key)
    this.#told.set(key, tells ? { atMs: nowMs, untold: 0 } : { ...told, untold: times })
    this.#forgetLongestUnheard()
    return tells ? times : 0
  }

  #forgetLongestUnheard (): void {
    if (this.#told.size <= MAX_REMEMBERED) return
    const [longestUnheard] = this.#told.keys()
    this.#told.delete(longestUnheard)
  }
}

/** The innermost place of a stack trace. */
function placeOf (thrown: unknown): string | undefined {
  return thrown instanceof Error ? thrown.stack?.split('\n').find((line) => line.trimStart().startsWith('at '))?.trim() : undefined
}
