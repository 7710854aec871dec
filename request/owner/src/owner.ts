import { createHash } from 'node:crypto'
import { type Configuration } from '@reelspan/config.resources'
import { type FleetList } from '@reelspan/config.fleet'
import { type Clock, Notifier, type PauseWatch, type Random, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { RequestKind, type RoutedRequest } from '@reelspan/core.messages'
import { type EngineClient, type ServiceClient } from '@reelspan/upstream.client'
import { parseRequestKey } from '@reelspan/request.key'
import { identityOfRouted, once, type RequestIdentity } from '@reelspan/request.identity'
import { type BrokenRuns, type Quarantine } from '@reelspan/request.quarantine'
import { type RecordStore, type RequestRecord } from '@reelspan/request.records'
import { type Placer } from '@reelspan/scheduling.placer'
import { CompletionRun } from './completionRun.js'
import { type RequestTimings } from './requestTimings.js'
import { RetryBudget } from './retryBudget.js'
import { RunContext } from './runContext.js'
import { ServiceRun } from './serviceRun.js'
import { TakeoverGuard } from './takeoverGuard.js'

/** What this box is at the moment. */
export interface BoxIdentity {
  peerAddress: string
  incarnation: string
}

/** What the owner tells about its requests. */
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
  standing: () => BoxIdentity
  configuration: () => Configuration
  fleet: () => FleetList
  /** A key prefix may start new requests for this long after it was given out. */
  prefixLifeMs: number
  /** How long a request without readers goes on, so that its caller can come back. */
  rejoinGraceMs: number
  upstreamTimeoutMs: number
  /** Told of answers of upstreams that broke off. */
  brokenRuns: BrokenRuns
  /** Keeps requests from upstreams that have ended those that ran them. */
  quarantine: Quarantine
  /** When this process stood still. */
  pauses: PauseWatch
  /** When most watched peers last answered. */
  lastContactMs: () => number
  hasPeers: () => boolean
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

/** Room for one token of an answer, in a record. */
const RECORD_BYTES_PER_TOKEN = 80
const SERVICE_ANSWER_BYTES = 4096
const RETRIES_PER_REQUEST = 0.1
const MAX_BUDGETED_RETRIES = 20

export interface SubmitOptions {
  /** The owner that the key names is known to be gone, and the request may be repeated. */
  takeOver?: boolean
}

interface RunningRequest {
  run: RunContext
  incarnation: string
}

/** Runs the requests whose keys name this box incarnation, each at most once at a time, and keeps their answers. */
export class Owner {
  readonly #opts: OwnerOptions
  readonly #tasks: TaskGroup
  readonly #takeoverGuard: TakeoverGuard
  readonly #running = new Map<string, RunningRequest>()
  readonly #retries = new RetryBudget({ perRequest: RETRIES_PER_REQUEST, maxRetries: () => MAX_BUDGETED_RETRIES })
  readonly #ended = new Notifier()
  #sequence = 0
  #acceptingStopped = false
  /** When this box ends whatever runs, on its clock. */
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

  /** Starts the request, or joins it if its key is known. Throws a `ReelspanError` with the verdict otherwise. */
  submit (request: RoutedRequest, opts: SubmitOptions = {}): RequestRecord {
    const known = this.#opts.records.get(request.key)
    if (known) return this.#join(known, request)
    if (!opts.takeOver || request.notRepeatable) this.#checkKey(request)
    if (this.#acceptingStopped || this.#opts.clock.nowMs() + request.deadlineMs > this.#stopsAtMs) {
      throw new ReelspanError(ErrorCode.Draining, 'this box is about to stop', { retryAfterMs: 0, hint: 'Ask for a new lookup.' })
    }
    const record = this.#opts.records.open(request.key, fingerprintOf(request), answerBytes(request))
    this.#start(record, request)
    return record
  }

  /** Ends a running request for its caller. */
  cancel (key: string): void {
    this.#running.get(key)?.run.end(new ReelspanError(ErrorCode.Cancelled, 'the caller cancelled the request'))
  }

  /** Ends everything, each request with the verdict that fits how far it came. */
  endAll (code: ErrorCode, message: string): void {
    this.#running.forEach(({ run }) => run.end(new ReelspanError(code, message)))
  }

  /** Which of these requests of an incarnation still run here. */
  vouch (ownerIncarnation: string, requestIds: readonly string[]): string[] {
    const live = new Set([...this.#running.values()]
      .filter(({ incarnation }) => incarnation === ownerIncarnation)
      .map(({ run }) => run.currentRequestId))
    return requestIds.filter((requestId) => live.has(requestId))
  }

  /** This box ends within that time: new requests are taken only if their deadlines end before. */
  endWithin (durationMs: number): void {
    this.#stopsAtMs = this.#opts.clock.nowMs() + durationMs
  }

  /** From now on nothing new is started; known requests go on and can be joined. */
  closeForNew (): void {
    this.#acceptingStopped = true
  }

  /** Resolves once no request runs, or the signal is aborted. */
  async waitIdle (signal: AbortSignal): Promise<void> {
    while (this.#running.size > 0 && !signal.aborted) await this.#ended.wait(signal)
  }

  async stop (): Promise<void> {
    this.endAll(ErrorCode.Draining, 'the box stops')
    await this.#tasks.stop()
  }

  /** State for the dump. */
  describe () {
    return {
      retryBudgetLeft: this.#retries.left,
      running: [...this.#running].map(([key, { run }]) => ({ key, requestId: run.currentRequestId, mayHaveRun: run.mayHaveRun, ageMs: run.elapsedMs })),
    }
  }

  #join (record: RequestRecord, request: RoutedRequest): RequestRecord {
    if (record.fingerprint === fingerprintOf(request)) return record
    throw new ReelspanError(ErrorCode.KeyReused, 'the key was used for a different request before', {
      hint: 'Give each request a key of its own.',
    })
  }

  #checkKey (request: RoutedRequest): void {
    const { clock, records, standing, prefixLifeMs } = this.#opts
    const { owner } = parseRequestKey(request.key)
    if (!owner) return
    const { incarnation } = standing()
    const issuerClockMs = owner.incarnation === incarnation ? clock.nowMs() : records.clockOf(owner.incarnation)
    if (issuerClockMs === undefined) {
      throw new ReelspanError(ErrorCode.OwnerGone, 'the process that the key names is gone, and its records with it', {
        verdict: Verdict.MayHaveRun,
        hint: 'Find out what became of the request before sending it again under a new key.',
      })
    }
    if (issuerClockMs - owner.issuedAtMs > prefixLifeMs) {
      throw new ReelspanError(ErrorCode.KeyExpired, 'the key is too old to tell whether it was used', {
        verdict: Verdict.MayHaveRun,
        hint: 'Take a new key prefix from a lookup for each request.',
      })
    }
    if (owner.incarnation !== incarnation) {
      throw new ReelspanError(ErrorCode.OwnerReplaced, 'the box that the key names has stopped, and the request had not reached it', {
        hint: 'Ask for a new lookup and send the request under a new key.',
        retryAfterMs: 0,
      })
    }
  }

  #start (record: RequestRecord, request: RoutedRequest): void {
    const { incarnation } = this.#opts.standing()
    const isCurrentIncarnation = () => this.#opts.standing().incarnation === incarnation
    const acceptedAtMs = this.#opts.clock.nowMs()
    const identity = once(() => identityOfRouted(request))
    const run = new RunContext({
      clock: this.#opts.clock,
      record,
      deadlineMs: request.deadlineMs,
      requestId: (this.#sequence++).toString(36),
      isCurrentIncarnation,
      // Nobody else runs what may not be repeated, whatever became of this box.
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
    // A refused request did not run, so the same key may be sent again.
    if (record.final?.verdict === Verdict.NotRun) records.remove(record.key)
    this.#running.delete(record.key)
    this.#ended.notify()
    onEnd?.(record, request, timings)
  }

  /** Cancels a request that nobody has read for a while. */
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
      if (record.readers === 0) run.end(new ReelspanError(ErrorCode.Cancelled, 'the caller went away'))
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
