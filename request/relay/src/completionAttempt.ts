import { STOPPED } from '@reelspan/core.env'
import { type EngineOutcome, isOwnPrefill, type PlacementPlan, type PlacementReport, UpstreamOutcome } from '@reelspan/core.messages'
import { percentile } from '@reelspan/request.owner'
import { type Placement } from '@reelspan/scheduling.placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type PrefillSource, type RelayAnswer, type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { type OutcomeOptions } from '@reelspan/upstream.health'
import { type SendPermit } from '@reelspan/upstream.limits'
import { FailureCause } from '@reelspan/upstream.paths'
import { Attempt, CancelCause } from './attempt.js'
import { type CompletionState } from './completionState.js'
import { MAX_WAIT_TARGETS } from './completionPlacer.js'
import { discardAnswer } from './discardAnswer.js'
import { exceedsBound } from './exceedsBound.js'
import { type EventProgress } from './eventProgress.js'
import { type ExchangeProgress } from './exchangeProgress.js'
import { freeHandle } from './freeHandle.js'
import { listedVersion } from './listedVersion.js'
import { mustDelegate } from './mustDelegate.js'
import { type AnswerTimes } from './passAnswer.js'
import { passEvents } from './passEvents.js'
import { type PermittedPlacement } from './permittedPlacement.js'
import { acquirePermit } from './pickPermittedUpstream.js'
import { prefillAtUpstream, sendToUpstream } from './sendToUpstream.js'
import { ExchangeStage, WatchedExchange } from './watchedExchange.js'
import { untilLost } from './untilLost.js'
import { withEndReport, type SendingWork } from './withEndReport.js'

const OK = 200
/** A prefill is silent after this multiple of its estimate plus the margin below: its answer is lost, or its engine hangs. */
const PREFILL_TIMEOUT_FACTOR = 2
const PREFILL_TIMEOUT_MARGIN_MS = 300
/** A stream is silent after this many time-between-tokens targets without data. */
const DECODE_SILENCE_TARGETS = 2
const FIRST_SERVER_ERROR = 500

export interface CompletionAttemptOptions {
  /** Passed to the placer. */
  nth: number
  times: AnswerTimes
  /** Whether it runs beside a silent attempt. A retry is then taken from the budget right before it is sent. */
  beside: boolean
  /** Called when an exchange of this attempt is silent, and again each time that its timeout has passed. */
  onSilent: (attempt: CompletionAttempt) => void
}

/** What the answer of a decode engine is handled with. */
interface AnswerContext {
  placement: Placement
  watched: WatchedExchange
  /** Software version of the engine when the request was sent. */
  version: string
  exchange: ExchangeProgress
  progress: EventProgress
}

/** Relays a completion to the engines of one placement: prefill, decode. */
export class CompletionAttempt extends Attempt {
  readonly #state: CompletionState
  readonly #opts: CompletionAttemptOptions
  /** Outcomes at the engines of the placement. */
  readonly #outcomes: EngineOutcome[] = []
  /** Whether the last exchange ended before its answer was complete, other than by a cancellation here. */
  #interrupted = false
  #prefillMs = 0
  /** Result of the prefill until a decode engine has fetched it. */
  #unusedSource?: PrefillSource
  readonly #prefillAborted = new AbortController()
  #watched?: WatchedExchange
  /** Aborted when its prefill is not waited for any longer. */
  readonly #prefillPatience = new AbortController()

  constructor (state: CompletionState, opts: CompletionAttemptOptions) {
    super(state.context.run)
    this.#state = state
    this.#opts = opts
  }

  get name (): string {
    return this.#watched?.upstream ?? 'unplaced'
  }

  get retryable (): boolean {
    return true
  }

  /** Whether an exchange with an engine was begun. */
  get contacted (): boolean {
    return this.#watched !== undefined
  }

  /** Whether its exchange with an engine is silent. */
  get silent (): boolean {
    return this.#watched?.silent ?? false
  }

  async run (): Promise<void> {
    const permitted = await this.#state.placer.place(this.#opts.nth, this.signal)
    this.#state.placements++
    await this.#executePlacement(permitted)
  }

  async #executePlacement ({ placement, permits }: PermittedPlacement): Promise<void> {
    const { context, checks } = this.#state
    const { opts, run, budget } = context
    const { plan } = placement
    const placedAtMs = opts.clock.nowMs()
    let report: PlacementReport | undefined
    try {
      await opts.clock.sleep(plan.startInMs, { signal: this.signal })
      await this.#checkBeforeSend()
      // After a late wake-up, the slot that was reserved for the end of this prefill may have been given to another request.
      if (opts.clock.nowMs() - placedAtMs > plan.startWithinMs) throw new UpstreamError('the reserved start time of the placement has passed', { mayHaveRun: false })
      if (mustDelegate(context)) throw new UpstreamError('this box has lost its paths to the upstreams', { mayHaveRun: false })
      checks.checkMaySend(plan.prefillEngine)
      checks.checkMayDecode(plan.decodeEngine)
      if (this.#opts.beside && !budget.tryAcquireRetry()) throw new UpstreamError('no retry is left in the budget', { mayHaveRun: false })
      if (!isOwnPrefill(plan)) {
        this.#unusedSource = await this.#prefill(plan, permits.prefill)
        this.#prefillMs = opts.clock.nowMs() - placedAtMs
        placement.recordPrefillEnd()
        await this.#checkBeforeSend()
        checks.checkMayDecode(plan.decodeEngine)
      }
      await this.#decode({ placement, permits }, this.#unusedSource)
      this.#unusedSource = undefined
      report = this.#report(plan, placedAtMs - (opts.clock.nowMs() - run.elapsedMs))
    } finally {
      void this.#release(placement, report)
      permits.prefill.release()
      permits.decode.release()
      this.#freeUnusedSource()
    }
  }

  #freeUnusedSource (): void {
    const { context, prompt } = this.#state
    if (this.#unusedSource) freeHandle(context, this.#unusedSource, prompt)
    this.#unusedSource = undefined
  }

  /** An engine that stands still has not read that its run was cancelled, so its slot stays reserved until it is heard. */
  async #release (placement: Placement, report?: PlacementReport): Promise<void> {
    const { run, silence, stopSignal } = this.#state.context
    const outcomes = await this.#outcomesOfEngines()
    if (!this.sent || !this.silent || this.cancelCause !== CancelCause.Superseded) return placement.release(report, outcomes)
    placement.recordOutcomes(outcomes)
    await silence.waitUntilHeard(placement.plan.decodeEngine, run.remainingMs, stopSignal)
    placement.release(report)
  }

  /** Failures caused by lost paths of this box say nothing about the engines. The first of them come before the loss is known. */
  async #outcomesOfEngines (): Promise<EngineOutcome[]> {
    if (!this.#outcomes.some(({ outcome }) => outcome === UpstreamOutcome.Unreachable)) return this.#outcomes
    const cause = await this.#state.context.paths.judge()
    return cause === FailureCause.OwnPaths ? this.#outcomes.filter(({ outcome }) => outcome === UpstreamOutcome.Answered) : this.#outcomes
  }

  async #checkBeforeSend (): Promise<void> {
    await this.#state.context.run.checkBeforeSend()
    this.throwIfCancelled()
  }

  async #prefill (plan: PlacementPlan, permit: SendPermit): Promise<PrefillSource> {
    const { context } = this.#state
    const { run } = context
    const target = { instance: plan.prefillEngine, address: plan.prefillAddress }
    const timeoutMs = PREFILL_TIMEOUT_MARGIN_MS + PREFILL_TIMEOUT_FACTOR * plan.expectedTtftMs
    const patience = this.#prefillPatience
    const { handle } = await this.#trackFailure(target, (progress) => this.#watch({ upstream: plan.prefillEngine, stage: ExchangeStage.Prefill, timeoutMs }, async (watched) => {
      const signal = AbortSignal.any([run.signal, this.#prefillAborted.signal, patience.signal])
      // A prefill that was sent comes to its end unless it is silent, since its handle can only be freed once it is known.
      this.signal.addEventListener('abort', () => { if (watched.silent || progress.sentAtMs === undefined) this.#prefillAborted.abort(STOPPED) }, { once: true })
      void this.#limitPrefill(patience, timeoutMs, watched.ended)
      void context.paths.waitUntilLost(watched.ended).then(() => {
        if (context.paths.lost && !watched.ended.aborted) this.#onSilent()
      })
      const prefilled = await untilLost(context, signal, () => progress.sentAtMs === undefined, (lostSignal) =>
        prefillAtUpstream(context, { target, permit }, { signal: lostSignal, deadlineMs: run.remainingMs, onSend: () => progress.recordSent(lostSignal) }))
      watched.recordReceived()
      return prefilled
    }))
    this.#recordOutcome(plan.prefillEngine, UpstreamOutcome.Answered)
    return { address: plan.prefillAddress, handle }
  }

  /** Ends a prefill whose request can still be refused as not run, before its caller leaves. */
  async #limitPrefill (patience: AbortController, timeoutMs: number, ended: AbortSignal): Promise<void> {
    const { opts, run, route, caller } = this.#state.context
    await opts.clock.sleep(Math.max(timeoutMs, MAX_WAIT_TARGETS * route.spec.ttftTargetMs - run.elapsedMs), { signal: ended })
    await opts.clock.awaitPendingInput()
    if (!ended.aborted && !caller.begun && !run.mayHaveRun) patience.abort()
  }

  #onSilent (): void {
    if (this.signal.aborted) this.#prefillAborted.abort(STOPPED)
    else this.#opts.onSilent(this)
  }

  async #watch<T> (exchange: { upstream: string, stage: ExchangeStage, timeoutMs: number }, work: (watched: WatchedExchange) => Promise<T>): Promise<T> {
    const watched = new WatchedExchange(this.#state.context, { ...exchange, onSilent: () => this.#onSilent() })
    this.#watched = watched
    try {
      return await work(watched)
    } finally {
      watched.end(this.cancellation)
    }
  }

  /**
   * Sends the request to its decode engine and passes the answer on. If the answer is interrupted or
   * the engine cannot fetch the KV cache, asks the same engine once more to compute the missing part of
   * the prompt itself: its slot is still reserved, and most of the prompt is usually still in its cache.
   */
  async #decode ({ placement, permits }: PermittedPlacement, source: PrefillSource | undefined): Promise<void> {
    const { budget, logDecision, run } = this.#state.context
    const { plan } = placement
    try {
      await this.#decodeOnce(placement, permits.decode, source)
    } catch (thrown) {
      run.throwIfEnded()
      if (!this.#mayRetryAtEngine(plan, thrown, source)) throw thrown
      const permit = await acquirePermit(this.#state.context, plan.decodeEngine)
      if (!permit.granted) throw thrown
      try {
        if (!budget.tryAcquireRetry()) throw thrown
        logDecision(LogEvent.RequestRetried, { upstream: plan.decodeEngine, reason: (thrown as Error).message, mayHaveRun: run.mayHaveRun })
        await this.#checkBeforeSend()
        if ((thrown as UpstreamError).refused) this.#freeUnusedSource()
        await this.#decodeOnce(placement, permit, undefined)
      } finally {
        permit.release()
      }
    }
  }

  /** Excludes failure responses, answers without end, and attempts beside which another one is open. */
  #mayRetryAtEngine (plan: PlacementPlan, thrown: unknown, source: PrefillSource | undefined): boolean {
    const { context: { opts, run, route }, model, version, race, canResume } = this.#state
    const computesPrompts = opts.configuration().model(model)?.decodePrefillTokensPerSecond !== undefined
    if (!(thrown instanceof UpstreamError) || exceedsBound(thrown) || !computesPrompts || this.cancelCause !== undefined || !opts.fleet().takesWork(plan.decodeEngine) || !version.allows(plan.decodeEngine)) return false
    if (thrown.refused) return source !== undefined
    return this.#interrupted && race.othersOf(this).length === 0 && (route.spec.resumable === true || !run.mayHaveRun) && canResume
  }

  async #decodeOnce (placement: Placement, permit: SendPermit, source: PrefillSource | undefined): Promise<void> {
    const { context, decodeEngines, race } = this.#state
    const { run, request, route } = context
    const { plan } = placement
    this.#interrupted = false
    const wasSentBefore = decodeEngines.has(plan.decodeEngine)
    decodeEngines.add(plan.decodeEngine)
    let sent = false
    // An engine that computes the prompt first sends no data during that time.
    const promptMs = source === undefined ? PREFILL_TIMEOUT_FACTOR * plan.expectedTtftMs : 0
    const timeoutMs = DECODE_SILENCE_TARGETS * route.spec.tbtTargetMs + promptMs
    const target = { instance: plan.decodeEngine, address: plan.decodeAddress }
    const version = listedVersion(context.opts, plan.decodeEngine) ?? ''
    const progress = this.#state.progress.fork()
    await this.#trackFailure(target, (exchange) => this.#watch({ upstream: plan.decodeEngine, stage: ExchangeStage.Decode, timeoutMs }, (watched) => this.#trackInterruption(async () => {
      const answer = await untilLost(context, this.signal, () => !sent, (signal) => sendToUpstream(context, { target, permit }, {
        signal,
        deadlineMs: run.remainingMs,
        source,
        urgency: context.urgency,
        resumeAfter: progress.lastId ?? request.resumeAfter,
        onSend: () => {
          race.recordSent(this)
          sent = true
          exchange.recordSent(signal)
        },
      }))
      watched.recordReceived()
      await this.#handleAnswer(plan, answer, { placement, watched, version, exchange, progress })
    }))).catch((thrown: unknown) => {
      // An engine that accepted no connection has received nothing, so it does not count as one of the attempts.
      if (!sent && !wasSentBefore) decodeEngines.delete(plan.decodeEngine)
      throw thrown
    })
  }

  /** Records whether an exchange ended before its answer was complete, other than by a cancellation. */
  async #trackInterruption (work: () => Promise<void>): Promise<void> {
    try {
      await work()
    } catch (thrown) {
      this.#interrupted = thrown instanceof UpstreamError && !thrown.refused && !thrown.failed && !this.signal.aborted
      throw thrown
    }
  }

  async #handleAnswer (plan: PlacementPlan, answer: RelayAnswer, { placement, watched, version, exchange, progress }: AnswerContext): Promise<void> {
    const { context, race, mayRetryElsewhere } = this.#state
    const { run, route, caller, logDecision } = context
    logDecision(LogEvent.RequestSent, { upstream: plan.decodeEngine, status: answer.status, framing: answer.framing, ...answer.use, prefillMs: Math.round(this.#prefillMs), atMs: Math.round(run.elapsedMs) })
    const failed = answer.status >= FIRST_SERVER_ERROR
    if (caller.begun ? answer.status !== OK : failed && (mayRetryElsewhere || race.othersOf(this).length > 0)) {
      discardAnswer(context, plan.decodeEngine, answer)
      throw new UpstreamError(`${plan.decodeEngine} responded with ${answer.status}`, { mayHaveRun: true, failed: true })
    }
    placement.recordProgress(1)
    const onFirst = () => {
      if (isOwnPrefill(plan)) placement.recordPrefillEnd()
      if (answer.status === OK) this.#state.version.begin(version)
    }
    const claim = () => {
      race.claim(this)
      this.#state.progress = progress
    }
    await passEvents(context, answer, this.#opts.times, { progress, completeEventsOnly: route.spec.resumable === true, watched, claim, isAlone: () => race.othersOf(this).length === 0, onFirst, onEvents: () => exchange.recordWritten() })
    if (answer.status === OK) exchange.recordFinished(answer)
    this.#recordOutcome(plan.decodeEngine, failed ? UpstreamOutcome.Failed : UpstreamOutcome.Answered)
  }

  /** Runs `work` and excludes the engine from later attempts if it fails, or is superseded while it is silent. */
  async #trackFailure<T> (target: RelayTarget, work: SendingWork<T>): Promise<T> {
    const engine = target.instance
    try {
      return await withEndReport(this.#state.context, target, work, this.signal)
    } catch (thrown) {
      const endedHere = this.#state.context.run.signal.aborted || (this.cancelCause !== undefined && !this.silent)
      if (thrown instanceof UpstreamError && !endedHere) {
        this.#state.failedEngines.add(engine)
        // An engine that refuses is healthy but was a bad choice, which its scheduler takes into account.
        if (thrown.refused) this.#outcomes.push({ engine, outcome: UpstreamOutcome.Failed, full: thrown.full || undefined })
        else this.#recordFailure(engine, thrown)
      }
      throw thrown
    }
  }

  /** An exchange that was given up because it was silent proves nothing against an engine that has sent something on another connection since. */
  #recordFailure (engine: string, error: UpstreamError): void {
    const { unreachable } = error
    if (exceedsBound(error)) return this.#recordOutcome(engine, UpstreamOutcome.Failed, { conclusive: true })
    const givenUpSilent = this.silent && (this.cancelCause !== undefined || this.#prefillPatience.signal.aborted)
    const silent = givenUpSilent && this.#watched?.upstreamSilent === true
    const outcome = unreachable && (silent || !givenUpSilent) ? UpstreamOutcome.Unreachable : UpstreamOutcome.Failed
    this.#recordOutcome(engine, outcome, { silent })
  }

  /** Failures caused by lost paths of this box are not reported to the scheduler. */
  #recordOutcome (engine: string, outcome: UpstreamOutcome, { silent = false, conclusive }: Pick<OutcomeOptions, 'silent' | 'conclusive'> = {}): void {
    const { paths, health } = this.#state.context
    if (outcome === UpstreamOutcome.Answered || !paths.lost) this.#outcomes.push({ engine, outcome, ...silent ? { silent } : {} })
    health.record(engine, outcome, [], { silent, conclusive })
  }

  #report (plan: PlacementPlan, placedAtMs: number): PlacementReport {
    const { placer } = this.#state
    const { firstMs = 0, pausesMs } = this.#opts.times
    const tbtP50Ms = percentile(pausesMs, 50) ?? 0
    placer.recordEventTime(tbtP50Ms)
    return {
      completionTokens: placer.deliveredTokens(),
      ttftErrorMs: firstMs - placedAtMs - plan.expectedTtftMs,
      tbtP50Ms,
    }
  }
}
