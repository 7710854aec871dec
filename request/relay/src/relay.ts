import { type Admitted } from '@reelspan/accounts.admission'
import { UpstreamKind } from '@reelspan/config.fleet'
import { type Named, type RouteSpec, type RouteTarget } from '@reelspan/config.resources'
import { type DelegationTerms } from '@reelspan/core.messages'
import { Notifier, raceTimeout, STOPPED, TaskGroup } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { type RelayCaller } from '@reelspan/request.caller'
import { identityOfRelayed, once, type RequestIdentity } from '@reelspan/request.identity'
import { RetryBudget, RunContext } from '@reelspan/request.owner'
import { RequestRecord } from '@reelspan/request.records'
import { LogEvent } from '@reelspan/telemetry.log'
import { type RelayedRequest } from '@reelspan/upstream.client'
import { UpstreamHealth } from '@reelspan/upstream.health'
import { CompletionRelay } from './completionRelay.js'
import { type AnswerTimes } from './passAnswer.js'
import { type RelayContext } from './relayContext.js'
import { type RelayOptions } from './relayOptions.js'
import { RelayedEndLog } from './relayedEndLog.js'
import { RunDurations } from './runDurations.js'
import { runEnded } from './runEnded.js'
import { ServiceRelay } from './serviceRelay.js'
import { servingVersions } from './servingVersions.js'
import { TokenTimes } from './tokenTimes.js'
import { UpstreamPicker } from './upstreamPicker.js'
import { UpstreamSilence } from './upstreamSilence.js'
import { withAttemptsUsed } from './withAttemptsUsed.js'

/**
 * How long after its start a box holds requests until its first configuration arrives. It usually takes some
 * 100 ms, and 1.2 to 1.8 s from the first request when 58 boxes start while the platform is unavailable.
 */
const STARTUP_CONFIG_TIMEOUT_MS = 2500
/** Usually longer than a box takes from its start to its first configuration. */
const NOT_READY_RETRY_AFTER_MS = 1000
/** Another box can accept the request at once. */
const DRAINING_RETRY_AFTER_MS = 100
/** Share of the system's retry burst that is distributed; the rest covers boxes that know fewer members than there are. */
const BUDGETED_BURST_SHARE = 0.8

type Target = Pick<RouteTarget, 'model' | 'pool'>

/** How this box runs a request for another box that has admitted it. */
export interface DelegatedTerms extends Pick<DelegationTerms, 'box' | 'elapsedMs' | 'deadlineMs' | 'urgency' | 'attemptsUsed'> {
  account?: string
  /** Called when the request is sent to an upstream that may run it. */
  onSent: (upstream: string, softwareVersion: string) => void
}

/** An admitted request and its target. */
interface AdmittedRequest extends Pick<RelayContext, 'run' | 'route' | 'request' | 'identity' | 'caller' | 'callerDeadlineMs'> {
  admitted: Admitted
  target: Target
  terms?: DelegatedTerms
}

/** Owner of relayed requests: each is run by the box that received it, at most once unless it is repeatable, and answered once. */
export class Relay {
  readonly #opts: RelayOptions
  readonly #tasks: TaskGroup
  readonly #endLog: RelayedEndLog
  readonly #health: UpstreamHealth
  readonly #picker: UpstreamPicker
  readonly #budgets = new Map<string, RetryBudget>()
  readonly #ended = new Notifier()
  readonly #running = new Map<string, RunContext>()
  readonly #runDurations = new RunDurations()
  readonly #silence: UpstreamSilence
  readonly #tokenTimes = new TokenTimes()
  readonly #callDurations = new RunDurations()
  #fleetRevision = 0
  #sequence = 0
  #acceptingStopped = false
  readonly #startedAtMs: number
  /** When this box aborts running requests, on its own clock. */
  #stopsAtMs = Number.POSITIVE_INFINITY
  #estimatesUntilMs = Number.POSITIVE_INFINITY
  readonly #stopScheduled = new AbortController()

  constructor (opts: RelayOptions) {
    this.#opts = opts
    const { clock, random, log } = opts
    this.#endLog = new RelayedEndLog(opts)
    this.#tasks = new TaskGroup(clock, opts.onTaskError)
    this.#startedAtMs = clock.nowMs()
    this.#silence = new UpstreamSilence(clock)
    opts.quarantine.onQuarantined(() => this.#running.forEach((run) => run.endIfRefused()))
    this.#health = new UpstreamHealth({
      clock,
      onSuspected: (upstream, { forMs, failureShare, cause }) => log.warn(LogEvent.UpstreamSuspected, { upstream, forMs, failureShare: Number(failureShare.toFixed(2)), cause }),
      onTrusted: (upstream) => log.info(LogEvent.UpstreamTrusted, { upstream }),
    })
    this.#picker = new UpstreamPicker({ clock, random, health: this.#health, isFailing: (upstream) => opts.upstreamReports.isFailing(upstream), availabilityZone: () => opts.self().availabilityZone })
  }

  get inFlight (): number {
    return this.#running.size
  }

  /**
   * Announces when this box stops, on its own clock. Accepts only new requests that are expected to end before, and
   * after `estimatesUntilMs` only those whose deadline is before.
   */
  scheduleStop (stopsAtMs: number, estimatesUntilMs: number): void {
    this.#stopsAtMs = stopsAtMs
    this.#estimatesUntilMs = estimatesUntilMs
    this.#stopScheduled.abort(STOPPED)
  }

  /** Refuses new requests from now on without running them. Running requests continue. */
  stopAccepting (): void {
    this.#acceptingStopped = true
  }

  /** Resolves once no request runs, or the signal is aborted. */
  async waitUntilIdle (signal: AbortSignal): Promise<void> {
    while (this.#running.size > 0 && !signal.aborted) await this.#ended.wait(signal)
  }

  async stop (): Promise<void> {
    this.#running.forEach((run) => run.end(new ReelspanError(ErrorCode.Draining, 'the box is shutting down', { retryAfterMs: DRAINING_RETRY_AFTER_MS })))
    await this.#tasks.stop()
  }

  /** Drops the suspicions of upstreams, of one kind or all, which were due to this box's own network paths. */
  onPathsRegained (kind?: UpstreamKind): void {
    const others = this.#opts.fleet().upstreams.filter((upstream) => kind !== undefined && upstream.kind !== kind)
    this.#health.retain(new Set(others.map(({ name }) => name)))
  }

  describe () {
    return {
      running: [...this.#running].map(([key, run]) => ({ key, ageMs: Math.round(run.elapsedMs), mayHaveRun: run.mayHaveRun })),
      upstreams: this.#health.describe(),
      silentUpstreams: this.#silence.upstreams(),
      retryBudgets: [...this.#budgets].map(([pool, { left }]) => ({ pool, left: Math.floor(left) })),
    }
  }

  /** Runs a request for another box, which has admitted it. It is not delegated again. */
  async relayDelegated (request: RelayedRequest, caller: RelayCaller, terms: DelegatedTerms): Promise<void> {
    await this.relay(request, caller, terms.elapsedMs + terms.deadlineMs, terms)
  }

  /** Runs a request and answers its caller. Resolves when the answer is complete. */
  async relay (request: RelayedRequest, caller: RelayCaller, deadlineMs?: number, terms?: DelegatedTerms): Promise<void> {
    const arrivedAtMs = this.#opts.clock.nowMs() - (terms?.elapsedMs ?? 0)
    // Called only if needed, so that otherwise the request is registered as running in the same tick.
    if (this.#opts.configuration().revision === 0) await this.#waitForConfiguration(caller.signal, deadlineMs)
    const route = this.#opts.configuration().routeOfHost(request.host, pathOf(request.target))
    const identity = once(() => identityOfRelayed(request))
    const run = this.#createRun(request, { identity, route }, Math.min(deadlineMs ?? Number.POSITIVE_INFINITY, route?.spec.deadlineMs ?? Number.POSITIVE_INFINITY), arrivedAtMs)
    const key = `${request.id}#${this.#sequence++}`
    const times: AnswerTimes = { longestPauseMs: 0, pausesMs: [], parts: 0 }
    const cancel = () => run.end(new ReelspanError(ErrorCode.Cancelled, 'the caller disconnected'))
    this.#running.set(key, run)
    caller.signal.addEventListener('abort', cancel, { once: true })
    if (caller.signal.aborted) cancel()
    this.#tasks.run(() => run.enforceDeadline())
    try {
      // An ended run is answered at once, even if its work is still cleaning up.
      await Promise.race([this.#execute(run, route, { request, identity, terms, callerDeadlineMs: terms ? undefined : deadlineMs }, caller, times), runEnded(run)])
    } catch (thrown) {
      run.end(toReelspanError(thrown))
    } finally {
      run.close()
      caller.signal.removeEventListener('abort', cancel)
      this.#running.delete(key)
      this.#ended.notify()
      this.#answerUnserved(run, caller)
      this.#endLog.record({ run, request, route, delegatedBy: terms?.box, times })
    }
  }

  /** Waits for the first configuration of a box that has just started. */
  async #waitForConfiguration (callerSignal: AbortSignal, deadlineMs = Number.POSITIVE_INFINITY): Promise<void> {
    const { clock, whenConfigured } = this.#opts
    const timeoutMs = Math.min(this.#startedAtMs + STARTUP_CONFIG_TIMEOUT_MS - clock.nowMs(), deadlineMs)
    if (timeoutMs <= 0 || this.#stopScheduled.signal.aborted) return
    const waitEnded = new AbortController()
    await raceTimeout(clock, whenConfigured(AbortSignal.any([callerSignal, this.#tasks.signal, this.#stopScheduled.signal, waitEnded.signal])), timeoutMs)
    waitEnded.abort(STOPPED)
  }

  #createRun (request: RelayedRequest, { identity, route }: { identity: () => RequestIdentity, route?: Named<RouteSpec> }, deadlineMs: number, arrivedAtMs: number): RunContext {
    const { clock, quarantine } = this.#opts
    return new RunContext({
      clock,
      record: new RequestRecord(request.id, '', clock.nowMs()),
      deadlineMs,
      arrivedAtMs,
      requestId: request.id,
      // A relayed request is never taken over by another box, even if this one is declared gone.
      isCurrentIncarnation: () => true,
      isExclusive: () => true,
      tryAcquireRetry: () => false,
      refusal: () => quarantine.refusalOf(identity, () => route ? servingVersions(this.#opts, route.spec) : []),
    })
  }

  async #execute (run: RunContext, route: Named<RouteSpec> | undefined, { request, identity, terms, callerDeadlineMs }: Pick<AdmittedRequest, 'request' | 'identity' | 'terms' | 'callerDeadlineMs'>, caller: RelayCaller, times: AnswerTimes): Promise<void> {
    const opts = this.#opts
    if (opts.configuration().revision === 0 && this.#stopScheduled.signal.aborted) throw new ReelspanError(ErrorCode.Draining, 'this box stops before it has a configuration', { retryAfterMs: DRAINING_RETRY_AFTER_MS })
    if (opts.configuration().revision === 0) throw new ReelspanError(ErrorCode.NotReady, 'this box has no configuration yet', { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
    if (!route) throw new ReelspanError(ErrorCode.NoRoute, `no route for ${request.host}${pathOf(request.target)}`)
    if (this.#acceptingStopped) throw new ReelspanError(ErrorCode.Draining, 'this box is draining', { retryAfterMs: DRAINING_RETRY_AFTER_MS })
    this.#removeUnlisted()
    const { model, pool } = this.#pickTarget(route.spec)
    // Requests of different routes to one target differ in duration.
    const kind = `${route.name}|${model ?? pool as string}`
    const startedAtMs = opts.clock.nowMs()
    // Checked before the first wait, so that a request that arrived before the stop counts as running.
    this.#checkFinishesBeforeStop(request, run, kind)
    const admitted = terms ? { account: terms.account, urgency: terms.urgency, releaseCost: () => {} } : await this.#admit(request, route)
    try {
      run.throwIfEnded()
      await this.#executeAt(this.#contextOf({ run, route, request, identity, caller, admitted, target: { model, pool }, terms, callerDeadlineMs }), { model, pool }, times)
    } finally {
      if (run.mayHaveRun) this.#runDurations.record(kind, opts.clock.nowMs() - startedAtMs, request.prompt?.maxTokens)
      else admitted.releaseCost()
    }
  }

  #admit ({ id, keyDigest, prompt }: RelayedRequest, { spec: { open } }: Named<RouteSpec>): Promise<Admitted> {
    const sizeTokens = prompt && prompt.promptTokens + prompt.maxTokens
    return this.#opts.admission.admit({ id, open, keyDigest, sizeTokens })
  }

  #contextOf ({ run, route, request, identity, caller, callerDeadlineMs, admitted: { account, urgency }, target, terms }: AdmittedRequest): RelayContext {
    const opts = this.#opts
    const budget = this.#budgetOf(target.model ?? target.pool as string)
    const kind = target.model === undefined ? UpstreamKind.Service : UpstreamKind.Engine
    // The delegating box has counted the request.
    if (!terms) budget.recordRequest()
    return {
      opts,
      run,
      request: { ...request, account },
      identity,
      caller,
      callerDeadlineMs,
      route: terms ? withAttemptsUsed(route, terms.attemptsUsed) : route,
      target: target.model ?? target.pool as string,
      paths: opts.paths[kind],
      delegator: opts.delegators[kind],
      mayDelegate: terms === undefined,
      onSent: terms?.onSent,
      urgency: urgency ?? route.spec.urgency,
      budget,
      health: this.#health,
      picker: this.#picker,
      silence: this.#silence,
      stopSignal: this.#tasks.signal,
      tokenTimes: this.#tokenTimes,
      callDurations: this.#callDurations,
      logDecision: (event, fields) => opts.log.info(event, { request: request.id, route: route.name, account, ...fields }),
    }
  }

  async #executeAt (context: RelayContext, { model, pool }: Target, times: AnswerTimes): Promise<void> {
    if (!context.mayDelegate && context.paths.lost) throw new ReelspanError(ErrorCode.NotReady, 'this box cannot reach the upstreams either', { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
    if (model === undefined) return new ServiceRelay(context, pool as string, times).execute()
    const { prompt } = context.request
    if (!prompt) throw new ReelspanError(ErrorCode.BadRequest, 'a request to a model must declare its prompt sizes')
    return new CompletionRelay(context, model, prompt).execute(times)
  }

  /** Throws if the request is likely to be still running when this box stops. */
  #checkFinishesBeforeStop ({ id, prompt }: RelayedRequest, run: RunContext, kind: string): void {
    if (this.#stopsAtMs === Number.POSITIVE_INFINITY) return
    const nowMs = this.#opts.clock.nowMs()
    const remainingMs = this.#stopsAtMs - nowMs
    const estimatedMs = nowMs <= this.#estimatesUntilMs ? this.#runDurations.expectedMaxMs(kind, prompt?.maxTokens) : undefined
    const expectedMs = Math.min(run.remainingMs, estimatedMs ?? run.remainingMs)
    this.#opts.log.info(LogEvent.StopChecked, { request: id, fits: expectedMs <= remainingMs, remainingMs: Math.round(remainingMs), expectedMs: Math.round(expectedMs) })
    if (expectedMs <= remainingMs) return
    throw new ReelspanError(ErrorCode.Draining, `this box stops within ${Math.round(remainingMs)} ms, and the request may take ${Math.round(expectedMs)} ms`, { retryAfterMs: DRAINING_RETRY_AFTER_MS })
  }

  /** Drops the statistics of upstreams that are no longer listed. */
  #removeUnlisted (): void {
    const { fleet, fleetRevision } = this.#opts
    if (this.#fleetRevision === fleetRevision()) return
    this.#fleetRevision = fleetRevision()
    const names = new Set(fleet().upstreams.map(({ name }) => name))
    this.#health.retain(names)
    this.#picker.retain(names)
    this.#silence.retain(names)
    this.#tokenTimes.retain((model) => this.#opts.configuration().model(model) !== undefined)
  }

  #pickTarget ({ targets, model, pool }: RouteSpec): Target {
    if (!targets) return { model, pool }
    const total = targets.reduce((sum, { weight }) => sum + weight, 0)
    const randomWeight = this.#opts.random.nextFloat() * total
    const cumulativeWeight = (last: number) => targets.slice(0, last + 1).reduce((sum, { weight }) => sum + weight, 0)
    return targets.find((_, i) => randomWeight < cumulativeWeight(i)) ?? targets[0]
  }

  #budgetOf (pool: string): RetryBudget {
    const known = this.#budgets.get(pool)
    if (known) return known
    const { boxCount, retriesPerRequest, retryBurst } = this.#opts
    const budget = new RetryBudget({ perRequest: retriesPerRequest, maxRetries: () => Math.max(1, retryBurst * BUDGETED_BURST_SHARE / Math.max(1, boxCount())) })
    this.#budgets.set(pool, budget)
    return budget
  }

  /** Ends the answer of a request that was not served completely. */
  #answerUnserved ({ record: { final } }: RunContext, caller: RelayCaller): void {
    if (!final || final.verdict === Verdict.Finished) return
    if (caller.begun) caller.abort()
    else caller.refuse(final)
  }
}

function pathOf (target: string): string {
  const at = target.indexOf('?')
  return at < 0 ? target : target.slice(0, at)
}
