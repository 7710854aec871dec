import { type EngineOutcome, isOwnPrefill, type PlacementPlan, type PlacementReport, UpstreamOutcome } from '@reelspan/core.messages'
import { percentile } from '@reelspan/request.owner'
import { type Placement } from '@reelspan/scheduling.placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type PrefillSource, type PromptSizes, type RelayAnswer, type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { type SendPermit } from '@reelspan/upstream.limits'
import { CompletionPlacer } from './completionPlacer.js'
import { DelegatedRelay } from './delegatedRelay.js'
import { drainAnswer } from './drainAnswer.js'
import { freeHandle } from './freeHandle.js'
import { EventProgress } from './eventProgress.js'
import { type ExchangeProgress } from './exchangeProgress.js'
import { EngineChecks } from './engineChecks.js'
import { withEndReport, type SendingWork } from './withEndReport.js'
import { type AnswerTimes } from './passAnswer.js'
import { passEvents } from './passEvents.js'
import { type PermittedPlacement } from './permittedPlacement.js'
import { acquirePermit } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'
import { prefillAtUpstream, sendToUpstream } from './sendToUpstream.js'
import { IdleTimer } from './idleTimer.js'
import { mustDelegate } from './mustDelegate.js'
import { listedVersion } from './listedVersion.js'
import { StreamVersion } from './streamVersion.js'
import { untilLost } from './untilLost.js'

/** Bound on placements of one request, including those that did not reach an engine. */
const MAX_ATTEMPTS = 4
const OK = 200
/** A prefill is aborted after this multiple of its estimate plus the margin below: its answer is lost, or its engine hangs. */
const PREFILL_TIMEOUT_FACTOR = 2
const PREFILL_TIMEOUT_MARGIN_MS = 300
/** A stream that another engine could continue is aborted after this many time-between-tokens targets without data. */
const DECODE_IDLE_TIMEOUT_TARGETS = 2
const FIRST_SERVER_ERROR = 500

enum ExchangeStage {
  Prefill = 'prefill',
  Decode = 'decode',
}

/** An exchange that ends if its upstream is silent for too long. */
interface TimedExchange {
  upstream: string
  stage: ExchangeStage
  timeoutMs: number
  mayExpire?: () => boolean
}

/** What the answer of a decode engine is handled with. */
interface AnswerContext {
  placement: Placement
  times: AnswerTimes
  idleTimer: IdleTimer
  /** Software version of the engine when the request was sent. */
  version: string
  exchange: ExchangeProgress
}

/** Relays a request to a model's engines: placement, prefill, decode. */
export class CompletionRelay {
  readonly #context: RelayContext
  readonly #model: string
  readonly #prompt: PromptSizes
  readonly #failedEngines = new Set<string>()
  readonly #progress = new EventProgress()
  readonly #version: StreamVersion
  readonly #checks: EngineChecks
  readonly #placer: CompletionPlacer
  /** Outcomes at the engines of the present placement. */
  #outcomes: EngineOutcome[] = []
  /** Decode engines to which the request was sent. */
  readonly #decodeEngines = new Set<string>()
  /** Whether the last exchange ended before its answer was complete, other than by a timeout or cancellation here. */
  #interrupted = false
  #prefillMs = 0

  constructor (context: RelayContext, model: string, prompt: PromptSizes) {
    this.#context = context
    this.#model = model
    this.#prompt = prompt
    this.#version = new StreamVersion(context, model)
    this.#checks = new EngineChecks(context, this.#version, this.#failedEngines)
    this.#placer = new CompletionPlacer(context, model, prompt, { failed: this.#failedEngines, progress: this.#progress, version: this.#version })
  }

  async execute (times: AnswerTimes): Promise<void> {
    const { run, route, budget, caller, logDecision } = this.#context
    await this.#version.find()
    for (let attempt = 1; ; attempt++) {
      await run.checkBeforeSend()
      if (mustDelegate(this.#context)) return new DelegatedRelay(this.#context, { attemptsUsed: this.#decodeEngines.size, progress: this.#progress, version: this.#version }).execute(times)
      try {
        await this.#executePlacement(await this.#placer.place(attempt), times)
        return
      } catch (thrown) {
        run.throwIfEnded()
        // A placement may have been refused only since this box avoids the engines that it cannot reach.
        if (mustDelegate(this.#context) && this.#decodeEngines.size === 0 && !this.#context.caller.begun) continue
        if (!this.#mayRetry(thrown, attempt)) {
          logDecision(LogEvent.RequestNotRetried, { attempt, reason: (thrown as Error).message, attemptsLeft: route.spec.maxAttempts - this.#decodeEngines.size, retriesLeft: Math.floor(budget.left), begun: caller.begun })
          throw thrown
        }
        logDecision(LogEvent.RequestRetried, { attempt, reason: (thrown as Error).message, mayHaveRun: run.mayHaveRun })
      }
    }
  }

  #mayRetry (thrown: unknown, attempt: number): boolean {
    const { run, route, budget } = this.#context
    if (!(thrown instanceof UpstreamError) || attempt >= MAX_ATTEMPTS) return false
    if (!this.#canResume()) return false
    if (run.mayHaveRun && !route.spec.resumable) return false
    if (this.#decodeEngines.size >= route.spec.maxAttempts) return false
    return budget.tryAcquireRetry()
  }

  async #executePlacement ({ placement, permits }: PermittedPlacement, times: AnswerTimes): Promise<void> {
    const { opts, run } = this.#context
    const { plan } = placement
    const placedAtMs = opts.clock.nowMs()
    let report: PlacementReport | undefined
    let source: PrefillSource | undefined
    let handleConsumed = false
    this.#outcomes = []
    try {
      await opts.clock.sleep(plan.startInMs, { signal: run.signal })
      await run.checkBeforeSend()
      // After a late wake-up, the slot that was reserved for the end of this prefill may have been given to another request.
      if (opts.clock.nowMs() - placedAtMs > plan.startWithinMs) throw new UpstreamError('the reserved start time of the placement has passed', { mayHaveRun: false })
      if (mustDelegate(this.#context)) throw new UpstreamError('this box has lost its paths to the upstreams', { mayHaveRun: false })
      this.#checks.checkMaySend(plan.prefillEngine)
      this.#checks.checkMayDecode(plan.decodeEngine)
      if (!isOwnPrefill(plan)) {
        source = await this.#prefill(plan, permits.prefill)
        this.#prefillMs = opts.clock.nowMs() - placedAtMs
        placement.recordPrefillEnd()
        await run.checkBeforeSend()
        this.#checks.checkMayDecode(plan.decodeEngine)
      }
      await this.#decode({ placement, permits }, source, times)
      handleConsumed = true
      report = this.#report(plan, placedAtMs - (opts.clock.nowMs() - run.elapsedMs), times)
    } finally {
      placement.release(report, this.#outcomes)
      permits.prefill.release()
      permits.decode.release()
      if (source && !handleConsumed) freeHandle(this.#context, source, this.#prompt)
    }
  }

  async #prefill (plan: PlacementPlan, permit: SendPermit): Promise<PrefillSource> {
    const { run } = this.#context
    const target = { instance: plan.prefillEngine, address: plan.prefillAddress }
    const timeoutMs = PREFILL_TIMEOUT_MARGIN_MS + PREFILL_TIMEOUT_FACTOR * plan.expectedTtftMs
    const { handle } = await this.#trackFailure(target, (progress) => this.#withIdleTimer({ upstream: plan.prefillEngine, stage: ExchangeStage.Prefill, timeoutMs }, ({ signal }) => untilLost(this.#context, signal, () => true, (lostSignal) =>
      prefillAtUpstream(this.#context, { target, permit }, { signal: lostSignal, deadlineMs: run.remainingMs, onSend: () => progress.recordSent(lostSignal) }))))
    this.#recordOutcome(plan.prefillEngine, UpstreamOutcome.Answered)
    return { address: plan.prefillAddress, handle }
  }

  /** Runs `work` with a timer that aborts it when no data arrives for `timeoutMs`. */
  async #withIdleTimer<T> ({ upstream, stage, timeoutMs, mayExpire }: TimedExchange, work: (idleTimer: IdleTimer) => Promise<T>): Promise<T> {
    const { opts, run, caller, budget, logDecision } = this.#context
    const idleTimer = new IdleTimer(opts.clock, timeoutMs, run.signal, mayExpire)
    try {
      return await work(idleTimer)
    } catch (thrown) {
      if (idleTimer.signal.aborted && !run.signal.aborted) logDecision(LogEvent.ExchangeGivenUp, { upstream, stage, silentMs: Math.round(idleTimer.silentMs), begun: caller.begun, retriesLeft: Math.floor(budget.left) })
      throw thrown
    } finally {
      idleTimer.stop()
    }
  }

  /**
   * Sends the request to its decode engine and passes the answer on. If the answer is interrupted or
   * the engine cannot fetch the KV cache, asks the same engine once more to compute the missing part of
   * the prompt itself: its slot is still reserved, and most of the prompt is usually still in its cache.
   */
  async #decode ({ placement, permits }: PermittedPlacement, source: PrefillSource | undefined, times: AnswerTimes): Promise<void> {
    const { budget, logDecision, run } = this.#context
    const { plan } = placement
    try {
      await this.#decodeOnce(placement, permits.decode, source, times)
    } catch (thrown) {
      run.throwIfEnded()
      if (!this.#mayRetryAtEngine(plan, thrown, source)) throw thrown
      const permit = await acquirePermit(this.#context, plan.decodeEngine)
      if (!permit.granted) throw thrown
      try {
        if (!budget.tryAcquireRetry()) throw thrown
        logDecision(LogEvent.RequestRetried, { upstream: plan.decodeEngine, reason: (thrown as Error).message, mayHaveRun: run.mayHaveRun })
        await run.checkBeforeSend()
        await this.#decodeOnce(placement, permit, undefined, times)
      } finally {
        permit.release()
      }
    }
  }

  /** Excludes timeouts, since the engine itself may be unresponsive, and failure responses. */
  #mayRetryAtEngine (plan: PlacementPlan, thrown: unknown, source: PrefillSource | undefined): boolean {
    const { opts, run, route } = this.#context
    const computesPrompts = opts.configuration().model(this.#model)?.decodePrefillTokensPerSecond !== undefined
    if (!(thrown instanceof UpstreamError) || !computesPrompts || !opts.fleet().takesWork(plan.decodeEngine) || !this.#version.allows(plan.decodeEngine)) return false
    if (thrown.refused) return source !== undefined
    return this.#interrupted && (route.spec.resumable || !run.mayHaveRun) && this.#canResume()
  }

  async #decodeOnce (placement: Placement, permit: SendPermit, source: PrefillSource | undefined, times: AnswerTimes): Promise<void> {
    const { run, request, route } = this.#context
    const { plan } = placement
    this.#interrupted = false
    const wasSentBefore = this.#decodeEngines.has(plan.decodeEngine)
    this.#decodeEngines.add(plan.decodeEngine)
    let sent = false
    // An engine that computes the prompt first sends no data during that time.
    const promptMs = source === undefined ? PREFILL_TIMEOUT_FACTOR * plan.expectedTtftMs : 0
    const timeoutMs = this.#hasAttemptsLeft() ? DECODE_IDLE_TIMEOUT_TARGETS * route.spec.tbtTargetMs + promptMs : Number.POSITIVE_INFINITY
    const target = { instance: plan.decodeEngine, address: plan.decodeAddress }
    const version = listedVersion(this.#context.opts, plan.decodeEngine) ?? ''
    await this.#trackFailure(target, (exchange) => this.#withIdleTimer({ upstream: plan.decodeEngine, stage: ExchangeStage.Decode, timeoutMs, mayExpire: () => this.#mayRetryElsewhere() }, (idleTimer) => this.#trackInterruption(idleTimer, async () => {
      const answer = await untilLost(this.#context, idleTimer.signal, () => !sent, (signal) => sendToUpstream(this.#context, { target, permit }, {
        signal,
        deadlineMs: run.remainingMs,
        source,
        urgency: this.#context.urgency,
        resumeAfter: this.#progress.lastId ?? request.resumeAfter,
        onSend: () => {
          sent = true
          exchange.recordSent(signal)
        },
      }))
      idleTimer.reset()
      await this.#handleAnswer(plan, answer, { placement, times, idleTimer, version, exchange })
    }))).catch((thrown: unknown) => {
      // An engine that accepted no connection has received nothing, so it does not count as one of the attempts.
      if (!sent && !wasSentBefore) this.#decodeEngines.delete(plan.decodeEngine)
      throw thrown
    })
  }

  /** Records whether an exchange ended before its answer was complete, other than by the idle timer or a cancellation. */
  async #trackInterruption (idleTimer: IdleTimer, work: () => Promise<void>): Promise<void> {
    try {
      await work()
    } catch (thrown) {
      this.#interrupted = thrown instanceof UpstreamError && !thrown.refused && !thrown.failed && !idleTimer.signal.aborted
      throw thrown
    }
  }

  /** Whether another engine could continue the request now if this one failed. */
  #mayRetryElsewhere (): boolean {
    return this.#hasAttemptsLeft() && this.#context.budget.left >= 1 && this.#canResume()
  }

  /** Whether the request may be sent to one more decode engine, apart from the retry budget. */
  #hasAttemptsLeft (): boolean {
    const { resumable, maxAttempts } = this.#context.route.spec
    return resumable && this.#decodeEngines.size < maxAttempts
  }

  /** An answer that has begun can be resumed only behind an event with an id, or if it has no complete event yet. */
  #canResume (): boolean {
    return !this.#context.caller.begun || (!this.#progress.oversized && (this.#progress.lastId !== undefined || this.#progress.events === 0))
  }

  async #handleAnswer (plan: PlacementPlan, answer: RelayAnswer, { placement, times, idleTimer, version, exchange }: AnswerContext): Promise<void> {
    const { run, route, caller, logDecision } = this.#context
    logDecision(LogEvent.RequestSent, { upstream: plan.decodeEngine, status: answer.status, framing: answer.framing, prefillMs: Math.round(this.#prefillMs), atMs: Math.round(run.elapsedMs) })
    const failed = answer.status >= FIRST_SERVER_ERROR
    if (caller.begun ? answer.status !== OK : failed && this.#mayRetryElsewhere()) {
      void drainAnswer(answer)
      throw new UpstreamError(`${plan.decodeEngine} responded with ${answer.status}`, { mayHaveRun: true, failed: true })
    }
    placement.recordProgress(1)
    const onFirst = () => {
      if (isOwnPrefill(plan)) placement.recordPrefillEnd()
      if (answer.status === OK) this.#version.begin(version)
    }
    await passEvents(this.#context, answer, times, { progress: this.#progress, completeEventsOnly: route.spec.resumable, idleTimer, onFirst, onEvents: () => exchange.recordWritten() })
    if (answer.status === OK) exchange.recordFinished(answer)
    this.#recordOutcome(plan.decodeEngine, failed ? UpstreamOutcome.Failed : UpstreamOutcome.Answered)
  }

  /** Runs `work` and excludes the engine from later attempts if it fails. */
  async #trackFailure<T> (target: RelayTarget, work: SendingWork<T>): Promise<T> {
    const engine = target.instance
    try {
      return await withEndReport(this.#context, target, work)
    } catch (thrown) {
      if (thrown instanceof UpstreamError && !this.#context.run.signal.aborted) {
        this.#failedEngines.add(engine)
        // An engine that refuses is healthy but was a bad choice, which its scheduler takes into account.
        if (thrown.refused) this.#outcomes.push({ engine, outcome: UpstreamOutcome.Failed, full: thrown.full || undefined })
        else this.#recordOutcome(engine, thrown.unreachable ? UpstreamOutcome.Unreachable : UpstreamOutcome.Failed)
      }
      throw thrown
    }
  }

  /** Failures caused by lost paths of this box are not reported to the scheduler. */
  #recordOutcome (engine: string, outcome: UpstreamOutcome): void {
    if (outcome === UpstreamOutcome.Answered || !this.#context.opts.paths.lost) this.#outcomes.push({ engine, outcome })
    this.#context.health.record(engine, outcome, [])
  }

  #report (plan: PlacementPlan, placedAtMs: number, { firstMs = 0, pausesMs }: AnswerTimes): PlacementReport {
    const tbtP50Ms = percentile(pausesMs, 50) ?? 0
    this.#placer.recordEventTime(tbtP50Ms)
    return {
      completionTokens: this.#placer.deliveredTokens(),
      ttftErrorMs: firstMs - placedAtMs - plan.expectedTtftMs,
      tbtP50Ms,
    }
  }
}
