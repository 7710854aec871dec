import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { judgeRequest } from './judgeRequest.js'
import { type PastRun, type RunHistory } from './runHistory.js'

/**
 * For how long a request is not run after the last upstream that ended under it. Then it may run
 * once more, and is quarantined again as soon as it ends another one: an engine each ten minutes,
 * in place of one each 0.9 s, until whoever sends it or whoever runs the engines has mended it.
 */
export const QUARANTINE_MS = 10 * 60_000

export interface QuarantineOptions {
  clock: Clock
  log: Log
  history: RunHistory
  /** This box's present incarnation: events are named after it. */
  incarnation: () => string
  /** Tells other boxes of an event that this box has seen. */
  onEvent: (event: RunEvent) => void
}

/** Called when a request is not to be run any more that was run before. */
export type QuarantineListener = () => void

/** Keeps requests from upstreams that have ended those that ran them, at whatever box. */
export class Quarantine {
  readonly #opts: QuarantineOptions
  readonly #listeners = new Set<QuarantineListener>()
  /** Requests that the log says are quarantined. */
  readonly #logged = new Map<string, RequestIdentity>()
  #sequence = 0

  constructor (opts: QuarantineOptions) {
    this.#opts = opts
  }

  /** How many requests are not run at present. Tells of those that may run again. */
  countQuarantined (): number {
    [...this.#logged.values()].forEach((request) => this.#logChange(request, this.#quarantiningRuns(request)))
    return this.#logged.size
  }

  onQuarantined (listener: QuarantineListener): void {
    this.#listeners.add(listener)
  }

  /** Why a request must not be sent to an upstream now; nothing if it may. The identity is only asked for where anything is known. */
  refusalOf (identity: () => RequestIdentity): ReelspanError | undefined {
    if (this.#opts.history.size === 0) return undefined
    const request = identity()
    const runs = this.#quarantiningRuns(request)
    this.#logChange(request, runs)
    return runs.length > 0 ? this.#refusal(runs) : undefined
  }

  /** The upstream's process has ended while it ran the request. */
  noteUpstreamEnded (identity: RequestIdentity, upstream: string, { ranMs, ageMs }: Pick<RunEvent, 'ranMs' | 'ageMs'>): void {
    this.#recordEvent({ ...identity, end: RunEnd.UpstreamEnded, upstream, ranMs, ageMs })
  }

  /** The request has run to its end, so it does not end every upstream that runs it. That is told where it was at an upstream's end since. */
  recordFinished (identity: () => RequestIdentity): void {
    const { history } = this.#opts
    if (history.size === 0) return
    const request = identity()
    const last = history.runsOf(request.content).at(-1)
    if (last?.end === RunEnd.UpstreamEnded) this.#recordEvent({ ...request, end: RunEnd.Finished, ranMs: 0, ageMs: 0 })
  }

  /** Events of this or another box were added to the history. */
  noteAdded (events: readonly RunEvent[]): void {
    const before = this.#logged.size
    events.forEach((event) => this.#logChange(event, this.#quarantiningRuns(event)))
    if (this.#logged.size > before) this.#listeners.forEach((listener) => listener())
  }

  #recordEvent (event: Omit<RunEvent, 'id'>): void {
    const { history, incarnation, onEvent } = this.#opts
    const named = { ...event, id: `${incarnation()}.${this.#sequence++}` }
    if (!history.add(named)) return
    this.noteAdded([named])
    onEvent(named)
  }

  #quarantiningRuns (request: RequestIdentity): readonly PastRun[] {
    const runs = judgeRequest(this.#opts.history, request)
    const last = runs.at(-1)
    return last && this.#remainingMs(last) > 0 ? runs : []
  }

  #remainingMs ({ endedAtMs }: PastRun): number {
    return endedAtMs + QUARANTINE_MS - this.#opts.clock.nowMs()
  }

  #refusal (runs: readonly PastRun[]): ReelspanError {
    const upstreams = exitedUpstreams(runs).join(', ')
    return new ReelspanError(ErrorCode.RequestQuarantined, `${runs.length} upstreams ended under this request, one after the other: ${upstreams}`, {
      retryAfterMs: this.#remainingMs(runs.at(-1) as PastRun),
    })
  }

  #logChange ({ content, caller }: RequestIdentity, runs: readonly PastRun[]): void {
    const key = `${content} ${caller}`
    const quarantined = runs.length > 0
    if (quarantined === this.#logged.has(key)) return
    if (quarantined) this.#logged.set(key, { content, caller })
    else this.#logged.delete(key)
    this.#opts.log.warn(LogEvent.QuarantineChanged, { quarantined, contentHash: content, callerHash: caller, upstreams: exitedUpstreams(runs) })
  }
}

function exitedUpstreams (runs: readonly PastRun[]): string[] {
  return runs.flatMap(({ upstream }) => upstream ?? [])
}
