import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { judgeRequest } from './judgeRequest.js'
import { type DidOthersLiveOn } from './overlappingExits.js'
import { PartQuarantine, type TargetVersions } from './partQuarantine.js'
import { isClearance, type PastRun, type RunHistory } from './runHistory.js'
import { type RunParts } from './soundParts.js'

/**
 * Duration of a quarantine, counted from the last upstream exit. The request may then run once more
 * and is quarantined again as soon as another upstream exits. Until the request or the engines are
 * fixed, this costs one engine per ten minutes instead of one per 0.9 s.
 */
export const QUARANTINE_MS = 10 * 60_000

export interface QuarantineOptions {
  clock: Clock
  log: Log
  history: RunHistory
  /** Present incarnation of this box, used in event ids. */
  incarnation: () => string
  /** Sends an event that this box recorded to other boxes. */
  onEvent: (event: RunEvent) => void
  /** Whether this box may let one request with quarantined prompt parts try, by the time since their quarantine has lapsed. */
  mayTry: (key: string, lapsedMs: number) => boolean
  /** Whether others of the pool in the availability zone of an upstream that exited have lived on. By default it is not known. */
  didOthersLiveOn?: DidOthersLiveOn
}

/** When a run whose upstream exited began, wrote and ended, and where it ran. */
export type UpstreamExitTimes = Pick<RunEvent, 'ranMs' | 'ageMs' | 'exitKnownAfterMs' | 'writtenMs' | 'targetVersion' | 'pool' | 'availabilityZone'>

/** Called when a request has been quarantined. */
export type QuarantineListener = () => void

/** Blocks requests that have repeatedly made upstreams exit, at any box, alone or together with others that share a part of their prompts. */
export class Quarantine {
  readonly #opts: QuarantineOptions
  readonly #listeners = new Set<QuarantineListener>()
  /** Requests whose quarantine was logged and whose release was not logged yet. */
  readonly #logged = new Map<string, RequestIdentity>()
  readonly #parts: PartQuarantine
  #sequence = 0

  constructor (opts: QuarantineOptions) {
    this.#opts = opts
    this.#parts = new PartQuarantine(opts)
  }

  /** Number of prompt parts that are suspects, of combinations of parts that are refused, and of parts that were cleared. */
  countParts (): ReturnType<PartQuarantine['counts']> {
    return this.#parts.counts()
  }

  /** Counts the quarantined requests. Logs those whose quarantine has ended. */
  countQuarantined (): number {
    [...this.#logged.values()].forEach((request) => this.#logChange(request, this.#quarantiningRuns(request)))
    return this.#logged.size
  }

  onQuarantined (listener: QuarantineListener): void {
    this.#listeners.add(listener)
  }

  /**
   * Why a request must not be sent to an upstream now, or undefined if it may be. Computes the identity only if the history is not empty.
   *
   * @param targetVersions where the request can be served; by default anywhere
   */
  refusalOf (identity: () => RequestIdentity, targetVersions: TargetVersions = () => []): ReelspanError | undefined {
    if (this.#opts.history.size === 0) return undefined
    const request = identity()
    const runs = this.#quarantiningRuns(request)
    this.#logChange(request, runs)
    return runs.length > 0 ? this.#refusal(runs) : this.#parts.refusalOf(request, targetVersions)
  }

  /** Models or pools with the software versions to which a request must not be sent because of its prompt parts. */
  bannedVersions (identity: () => RequestIdentity): readonly string[] {
    return this.#opts.history.size === 0 ? [] : this.#parts.bannedVersions(identity())
  }

  /** Records that the upstream of a run has written for `writtenMs`, infinite if the answer was complete, and has not exited. */
  recordSound (run: RunParts, writtenMs: number): void {
    if (run.parts.length > 0 && this.#parts.recordSound(run, writtenMs)) this.#notifyListeners()
  }

  /** Records that a run was interrupted, before it is known whether its upstream exited. */
  recordInterruption (identity: () => RequestIdentity): void {
    if (this.#opts.history.size > 0) this.#parts.recordInterruption(identity())
  }

  /** Records that the upstream's process exited while it ran the request. */
  recordUpstreamExit ({ content, caller, parts = [] }: RequestIdentity, upstream: string, { writtenMs, targetVersion, ...times }: UpstreamExitTimes): void {
    const partFields = parts.length > 0 ? { parts: [...parts], writtenMs, targetVersion } : {}
    this.#recordEvent({ content, caller, end: RunEnd.UpstreamEnded, upstream, ...times, ...partFields })
  }

  /** Records that the request finished some time ago, so it does not make every upstream exit. Only needed if its last recorded run ended with an upstream exit. */
  recordFinished (identity: () => RequestIdentity, finishedAgoMs = 0): void {
    const { history } = this.#opts
    if (history.size === 0) return
    const request = identity()
    const last = history.runsOf(request.content).at(-1)
    if (last?.end === RunEnd.UpstreamEnded) this.#recordEvent({ content: request.content, caller: request.caller, end: RunEnd.Finished, ranMs: 0, ageMs: finishedAgoMs })
  }

  /** Called when events of this or another box were added to the history. */
  onEventsAdded (events: readonly RunEvent[]): void {
    const countBefore = this.#logged.size
    const refusesMoreParts = this.#parts.onEventsAdded()
    events.filter((event) => !isClearance(event)).forEach((event) => this.#logChange(event, this.#quarantiningRuns(event)))
    if (refusesMoreParts || this.#logged.size > countBefore) this.#notifyListeners()
  }

  #notifyListeners (): void {
    this.#listeners.forEach((listener) => listener())
  }

  #recordEvent (event: Omit<RunEvent, 'id'>): void {
    const { history, incarnation, onEvent } = this.#opts
    const identified = { ...event, id: `${incarnation()}.${this.#sequence++}` }
    if (!history.add(identified)) return
    this.onEventsAdded([identified])
    onEvent(identified)
  }

  #quarantiningRuns (request: RequestIdentity): readonly PastRun[] {
    const { clock, history, didOthersLiveOn } = this.#opts
    const runs = judgeRequest(history, request, { partVerdicts: this.#parts.verdicts(), nowMs: clock.nowMs(), didOthersLiveOn })
    const last = runs.at(-1)
    return last && this.#remainingMs(last) > 0 ? runs : []
  }

  #remainingMs ({ endedAtMs }: PastRun): number {
    return endedAtMs + QUARANTINE_MS - this.#opts.clock.nowMs()
  }

  #refusal (runs: readonly PastRun[]): ReelspanError {
    const upstreams = exitedUpstreams(runs).join(', ')
    return new ReelspanError(ErrorCode.RequestQuarantined, `${runs.length} upstreams exited one after another while running this request: ${upstreams}`, {
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
