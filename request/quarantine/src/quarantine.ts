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
  readonly #told = new Map<string, RequestIdentity>()
  #sequence = 0

  constructor (opts: QuarantineOptions) {
    this.#opts = opts
  }

  /** How many requests are not run at present. Tells of those that may run again. */
  countQuarantined (): number {
    [...this.#told.values()].forEach((request) => this.#tell(request, this.#judge(request)))
    return this.#told.size
  }

  onQuarantined (listener: QuarantineListener): void {
    this.#listeners.add(listener)
  }

  /** Why a request must not be sent to an upstream now; nothing if it may. The identity is only asked for where anything is known. */
  refusalOf (identity: () => RequestIdentity): ReelspanError | undefined {
    if (this.#opts.history.size === 0) return undefined
    const request = identity()
    const runs = this.#judge(request)
    this.#tell(request, runs)
    return runs.length > 0 ? this.#refusal(runs) : undefined
  }

  /** The upstream's process has ended while it ran the request. */
  noteUpstreamEnded (identity: RequestIdentity, upstream: string, { ranMs, ageMs }: Pick<RunEvent, 'ranMs' | 'ageMs'>): void {
    this.#note({ ...identity, end: RunEnd.UpstreamEnded, upstream, ranMs, ageMs })
  }

  /** The request has run to its end, so it does not end every upstream that runs it. That is told where it was at an upstream's end since. */
  noteFinished (identity: () => RequestIdentity): void {
    const { history } = this.#opts
    if (history.size === 0) return
    const request = identity()
    const last = history.of(request.content).at(-1)
    if (last?.end === RunEnd.UpstreamEnded) this.#note({ ...request, end: RunEnd.Finished, ranMs: 0, ageMs: 0 })
  }

  /** Events of this or another box were added to the history. */
  noteAdded (events: readonly RunEvent[]): void {
    const before = this.#told.size
    events.forEach((event) => this.#tell(event, this.#judge(event)))
    if (this.#told.size > before) this.#listeners.forEach((listener) => listener())
  }

  #note (event: Omit<RunEvent, 'id'>): void {
    const { history, incarnation, onEvent } = this.#opts
    const named = { ...event, id: `${incarnation()}.${this.#sequence++}` }
    if (!history.add(named)) return
    this.noteAdded([named])
    onEvent(named)
  }

  #judge (request: RequestIdentity): readonly PastRun[] {
    const runs = judgeRequest(this.#opts.history, request)
    const last = runs.at(-1)
    return last && this.#leftMs(last) > 0 ? runs : []
  }

  #leftMs ({ endedAtMs }: PastRun): number {
    return endedAtMs + QUARANTINE_MS - this.#opts.clock.nowMs()
  }

  #refusal (runs: readonly PastRun[]): ReelspanError {
    const upstreams = endedUpstreams(runs).join(', ')
    return new ReelspanError(ErrorCode.RequestQuarantined, `${runs.length} upstreams ended under this request, one after the other: ${upstreams}`, {
      retryAfterMs: this.#leftMs(runs.at(-1) as PastRun),
    })
  }

  #tell ({ content, caller }: RequestIdentity, runs: readonly PastRun[]): void {
    const key = `${content} ${caller}`
    const quarantined = runs.length > 0
    if (quarantined === this.#told.has(key)) return
    if (quarantined) this.#told.set(key, { content, caller })
    else this.#told.delete(key)
    this.#opts.log.warn(LogEvent.QuarantineChanged, { quarantined, contentHash: content, callerHash: caller, upstreams: endedUpstreams(runs) })
  }
}

function endedUpstreams (runs: readonly PastRun[]): string[] {
  return runs.flatMap(({ upstream }) => upstream ?? [])
}
