import { createHash } from 'node:crypto'
import { type Configuration } from '@reelspan/config.resources'
import { type FleetList } from '@reelspan/config.fleet'
import { type Clock, Notifier, type PauseDetector, type Random, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { RequestKind, type RoutedRequest } from '@reelspan/core.messages'
import { type EngineClient, type ServiceClient } from '@reelspan/upstream.client'
import { parseRequestKey } from '@reelspan/request.key'
import { identityOfRouted, once, type RequestIdentity } from '@reelspan/request.identity'
import { type RunEnds, type Quarantine } from '@reelspan/request.quarantine'
import { type RecordStore, type RequestRecord } from '@reelspan/request.records'
import { type Placer } from '@reelspan/scheduling.placer'
import { CompletionRun } from './completionRun.js'
import { type RequestTimings } from './requestTimings.js'
import { RetryBudget } from './retryBudget.js'
import { RunContext } from './runContext.js'
import { ServiceRun } from './serviceRun.js'
import { TakeoverGuard } from './takeoverGuard.js'

/** Present peer address and incarnation of this box. */
export interface BoxIdentity {
  peerAddress: string
  incarnation: string
}

/** Callbacks for the life cycle of requests. */
export interface OwnerEvents {
  onEnd?: (record: RequestRecord, request: RoutedRequest, timings: RequestTimings) => void
}

export interface OwnerOptions extends OwnerEvents {
  clock: Clock
  random: Random
  engines: EngineClient
  services: ServiceClient
  placer: Placer
  records: RecordStore
  self: () => BoxIdentity
  configuration: () => Configuration
  fleet: () => FleetList
  /** How long after its issue a key prefix may start new requests. */
  prefixLifeMs: number
  /** How long a request without readers keeps running, so that its caller can reconnect. */
  rejoinGraceMs: number
  upstreamTimeoutMs: number
  /** Records answers of upstreams that were interrupted. */
  runEnds: RunEnds
  /** Blocks requests that have repeatedly made upstreams exit. */
  quarantine: Quarantine
  /** Detects pauses of this process. */
  pauses: PauseDetector
  /** When most of the watched peers last answered. */
  lastContactMs: () => number
  hasPeers: () => boolean
  /** Called when a background task ends with an unexpected error. */
  onTaskError?: TaskErrorListener
}

/** Bytes reserved in a record for each token of the answer. */
const RECORD_BYTES_PER_TOKEN = 80
const SERVICE_ANSWER_BYTES = 4096
const RETRIES_PER_REQUEST = 0.1
const MAX_BUDGETED_RETRIES = 20

export interface SubmitOptions {
  /** The owner that the key names is known to be gone, so a repeatable request may run here. */
  takeOver?: boolean
}

interface RunningRequest {
  run: RunContext
  incarnation: string
}

/** Runs the requests whose keys name this box incarnation, each at most once at a time, and stores their answers. */
export class Owner {
  readonly #opts: OwnerOptions
  readonly #tasks: TaskGroup
  readonly #takeoverGuard: TakeoverGuard
  readonly #running = new Map<string, RunningRequest>()
  readonly #retries = new RetryBudget({ perRequest: RETRIES_PER_REQUEST, maxRetries: () => MAX_BUDGETED_RETRIES })
  readonly #ended = new Notifier()
  #sequence = 0
  #acceptingStopped = false
  /** When this box aborts running requests, on its own clock. */
  #stopsAtMs = Number.POSITIVE_INFINITY

  constructor (opts: OwnerOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#takeoverGuard = new TakeoverGuard(opts)
    opts.quarantine.onQuarantined(() => this.#running.forEach(({ run }) => run.endIfRefused()))
  }

  get inFlight (): number {
    return this.#running.size
  }

  /** Starts the request, or joins the running or finished one with the same key. Throws a `ReelspanError` with a verdict if neither is possible. */
  submit (request: RoutedRequest, opts: SubmitOptions = {}): RequestRecord {
    const known = this.#opts.records.get(request.key)
    if (known) return this.#join(known, request)
    if (!opts.takeOver || request.notRepeatable) this.#checkKey(request)
    if (this.#acceptingStopped || this.#opts.clock.nowMs() + request.deadlineMs > this.#stopsAtMs) {
      throw new ReelspanError(ErrorCode.Draining, 'this box is draining', { retryAfterMs: 0, hint: 'Repeat the lookup.' })
    }
    const record = this.#opts.records.open(request.key, fingerprintOf(request), answerBytes(request))
    this.#start(record, request)
    return record
  }

  /** Cancels a running request on behalf of its caller. */
  cancel (key: string): void {
    this.#running.get(key)?.run.end(new ReelspanError(ErrorCode.Cancelled, 'the caller cancelled the request'))
  }

  /** Ends all running requests, each with the verdict that matches its progress. */
  endAll (code: ErrorCode, message: string): void {
    this.#running.forEach(({ run }) => run.end(new ReelspanError(code, message)))
  }

  /** Returns those of an incarnation's requests that still run here. */
  confirmRunning (ownerIncarnation: string, requestIds: readonly string[]): string[] {
    const runningIds = new Set([...this.#running.values()]
      .filter(({ incarnation }) => incarnation === ownerIncarnation)
      .map(({ run }) => run.currentRequestId))
    return requestIds.filter((requestId) => runningIds.has(requestId))
  }

  /** Announces when this box stops, on its own clock. Accepts only new requests whose deadlines end before. */
  scheduleStop (stopsAtMs: number): void {
    this.#stopsAtMs = stopsAtMs
  }

  /** Refuses new requests from now on. Running requests continue and can be joined. */
  stopAccepting (): void {
    this.#acceptingStopped = true
  }

  /** Resolves once no request runs, or the signal is aborted. */
  async waitUntilIdle (signal: AbortSignal): Promise<void> {
    while (this.#running.size > 0 && !signal.aborted) await this.#ended.wait(signal)
  }

  async stop (): Promise<void> {
    this.endAll(ErrorCode.Draining, 'the box is shutting down')
    await this.#tasks.stop()
  }

  /** Returns the state for the debug dump. */
  describe () {
    return {
      retryBudgetLeft: this.#retries.left,
      running: [...this.#running].map(([key, { run }]) => ({ key, requestId: run.currentRequestId, mayHaveRun: run.mayHaveRun, ageMs: run.elapsedMs })),
    }
  }

  #join (record: RequestRecord, request: RoutedRequest): RequestRecord {
    if (record.fingerprint === fingerprintOf(request)) return record
    throw new ReelspanError(ErrorCode.KeyReused, 'the key was already used for a different request', {
      hint: 'Use a new key for each request.',
    })
  }

  #checkKey (request: RoutedRequest): void {
    const { clock, records, self, prefixLifeMs } = this.#opts
    const { owner } = parseRequestKey(request.key)
    if (!owner) return
    const { incarnation } = self()
    const issuerClockMs = owner.incarnation === incarnation ? clock.nowMs() : records.estimateClockMs(owner.incarnation)
    if (issuerClockMs === undefined) {
      throw new ReelspanError(ErrorCode.OwnerGone, 'the process that the key names has exited, and its records are lost', {
        verdict: Verdict.MayHaveRun,
        hint: 'Check whether the request took effect before sending it again with a new key.',
      })
    }
    if (issuerClockMs - owner.issuedAtMs > prefixLifeMs) {
      throw new ReelspanError(ErrorCode.KeyExpired, 'the key prefix has expired, so whether the key was used is unknown', {
        verdict: Verdict.MayHaveRun,
        hint: 'Get a new key prefix from a lookup for each request.',
      })
    }
    if (owner.incarnation !== incarnation) {
      throw new ReelspanError(ErrorCode.OwnerReplaced, 'the box that the key names has stopped without receiving the request', {
        hint: 'Repeat the lookup and send the request with a new key.',
        retryAfterMs: 0,
      })
    }
  }

  #start (record: RequestRecord, request: RoutedRequest): void {
    const { incarnation } = this.#opts.self()
    const isCurrentIncarnation = () => this.#opts.self().incarnation === incarnation
    const acceptedAtMs = this.#opts.clock.nowMs()
    const identity = once(() => identityOfRouted(request))
    const run = new RunContext({
      clock: this.#opts.clock,
      record,
      deadlineMs: request.deadlineMs,
      requestId: (this.#sequence++).toString(36),
      isCurrentIncarnation,
      // A non-repeatable request is never run by another box, even if this one was replaced.
      isExclusive: () => request.notRepeatable || (isCurrentIncarnation() && this.#takeoverGuard.isExclusiveSince(acceptedAtMs)),
      tryAcquireRetry: () => this.#retries.tryAcquireRetry(),
      refusal: () => this.#opts.quarantine.refusalOf(identity),
    })
    this.#retries.recordRequest()
    this.#running.set(record.key, { run, incarnation })
    this.#tasks.run(() => this.#execute(run, request, identity))
    this.#tasks.run(() => run.enforceDeadline())
    if (!request.notRepeatable) this.#tasks.run(() => this.#cancelUnread(run))
  }

  async #execute (run: RunContext, request: RoutedRequest, identity: () => RequestIdentity): Promise<void> {
    const timings: RequestTimings = { tbtMs: [], prefilledTokens: 0, wastedPrefillTokens: 0 }
    try {
      if (request.kind === RequestKind.Completion) await new CompletionRun(this.#opts, run, request, timings).execute()
      else await new ServiceRun(this.#opts, run, request).execute()
      this.#opts.quarantine.recordFinished(identity)
    } catch (thrown) {
      run.end(toReelspanError(thrown))
    } finally {
      this.#finish(run, request, timings)
    }
  }

  #finish (run: RunContext, request: RoutedRequest, timings: RequestTimings): void {
    const { record } = run
    const { records, onEnd } = this.#opts
    run.close()
    records.close(record.key)
    // The request has not run, so its key may be used again.
    if (record.final?.verdict === Verdict.NotRun) records.remove(record.key)
    this.#running.delete(record.key)
    this.#ended.notify()
    onEnd?.(record, request, timings)
  }

  /** Cancels a request that has had no reader for `rejoinGraceMs`. */
  async #cancelUnread (run: RunContext): Promise<void> {
    const { clock, rejoinGraceMs } = this.#opts
    const { record, signal } = run
    await record.waitUntilRead(signal)
    while (!signal.aborted) {
      await record.waitUntilUnread(signal)
      const graceExpired = new AbortController()
      const rejoined = record.waitUntilRead(AbortSignal.any([signal, graceExpired.signal]))
      await Promise.race([rejoined, clock.sleep(rejoinGraceMs, { signal })])
      graceExpired.abort(STOPPED)
      if (record.readers === 0) run.end(new ReelspanError(ErrorCode.Cancelled, 'the caller disconnected'))
    }
  }
}

function answerBytes (request: RoutedRequest): number {
  return request.kind === RequestKind.Completion ? request.maxTokens * RECORD_BYTES_PER_TOKEN : SERVICE_ANSWER_BYTES
}

function fingerprintOf (request: RoutedRequest): string {
  const hash = createHash('sha256').update(request.kind).update('\0').update(request.client).update('\0')
  if (request.kind === RequestKind.Completion) hash.update(`${request.model}\0${request.maxTokens}\0${request.prompt}`)
  else hash.update(`${request.method}\0${request.path}\0`).update(request.body)
  return hash.digest('hex').slice(0, 32)
}
