import { PoolCallOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import { type OutcomeOptions } from '@reelspan/upstream.health'
import { Attempt, CancelCause } from './attempt.js'
import { discardAnswer } from './discardAnswer.js'
import { exceedsBound } from './exceedsBound.js'
import { type ExchangeProgress } from './exchangeProgress.js'
import { type AnswerTimes, passAnswer } from './passAnswer.js'
import { type PermittedUpstream } from './pickPermittedUpstream.js'
import { sendToUpstream } from './sendToUpstream.js'
import { type ServiceState } from './serviceState.js'
import { untilLost } from './untilLost.js'
import { ExchangeStage, WatchedExchange } from './watchedExchange.js'
import { withEndReport } from './withEndReport.js'

const FIRST_CLIENT_ERROR = 400
const FIRST_SERVER_ERROR = 500
/** A call is silent after this many latency targets without an answer; a later one has little value. */
const SILENCE_TARGETS = 1.5

export interface ServiceAttemptOptions {
  picked: PermittedUpstream
  times: AnswerTimes
  /** Called when its upstream is silent, and again each time that the timeout has passed. */
  onSilent: (attempt: ServiceAttempt) => void
}

/** Relays a call to one upstream of a service pool. */
export class ServiceAttempt extends Attempt {
  readonly startedAtMs: number
  readonly #state: ServiceState
  readonly #opts: ServiceAttemptOptions
  /** Number of this attempt among those at the call. */
  readonly #nth: number
  #watched?: WatchedExchange

  constructor (state: ServiceState, opts: ServiceAttemptOptions) {
    super(state.context.run)
    this.#state = state
    this.#opts = opts
    this.startedAtMs = state.context.opts.clock.nowMs()
    this.#nth = ++state.attempts
    state.tried.add(this.name)
  }

  get name (): string {
    return this.#opts.picked.upstream.name
  }

  get retryable (): boolean {
    return true
  }

  /** Whether its upstream is silent, or was when the exchange ended. */
  get silent (): boolean {
    return this.#watched?.silent ?? false
  }

  async run (): Promise<void> {
    const { picker } = this.#state.context
    const { permit, slot } = this.#opts.picked
    picker.recordStart(this.name)
    try {
      await withEndReport(this.#state.context, this.#target, (progress) => this.#execute(progress), this.signal)
    } catch (thrown) {
      if (thrown instanceof UpstreamError) this.#recordFailure(thrown)
      throw thrown
    } finally {
      picker.recordEnd(this.name)
      permit.release()
      if (this.#heldWhileSilent) void this.#releaseOnceHeard()
      else slot.release(PoolCallOutcome.NotSent)
    }
  }

  async #execute (progress: ExchangeProgress): Promise<void> {
    const { context: { opts: { clock }, picker, run, logDecision } } = this.#state
    const answer = await this.#send(progress)
    this.#state.answered = true
    const durationMs = clock.nowMs() - this.startedAtMs
    const failed = answer.status >= FIRST_SERVER_ERROR
    picker.recordLatency(this.name, durationMs)
    if (!failed) this.#recordDuration(durationMs)
    logDecision(LogEvent.RequestSent, { upstream: this.name, attempt: this.#nth, status: answer.status, framing: answer.framing, ...answer.use, atMs: Math.round(run.elapsedMs) })
    if (failed) await this.#checkIsFinal(answer)
    run.throwIfEnded()
    this.#state.claim(this)
    await passAnswer(this.#state.context, answer, this.#opts.times)
    if (answer.status < FIRST_CLIENT_ERROR) progress.recordFinished(answer)
    this.#recordOutcome(failed ? UpstreamOutcome.Failed : UpstreamOutcome.Answered)
    this.#opts.picked.slot.release(failed ? PoolCallOutcome.Failed : PoolCallOutcome.Answered, durationMs)
  }

  async #send (progress: ExchangeProgress): Promise<RelayAnswer> {
    const { context, race } = this.#state
    const { run, request: { resumeAfter } } = context
    const { permit } = this.#opts.picked
    const watched = this.#watch()
    try {
      const answer = await untilLost(context, this.signal, () => !this.sent, (signal) => sendToUpstream(context, { target: this.#target, permit }, {
        signal,
        deadlineMs: run.remainingMs,
        resumeAfter,
        onSend: () => {
          race.recordSent(this)
          this.#state.sent++
          progress.recordSent(signal)
        },
      }))
      watched.recordReceived()
      return answer
    } finally {
      watched.end(this.cancellation)
    }
  }

  #watch (): WatchedExchange {
    const { context } = this.#state
    const { paths, run, route } = context
    const timeoutMs = Math.min(run.remainingMs / 2, SILENCE_TARGETS * route.spec.ttftTargetMs)
    const watched = new WatchedExchange(context, { upstream: this.name, stage: ExchangeStage.Call, timeoutMs, onSilent: () => this.#opts.onSilent(this) })
    this.#watched = watched
    void paths.waitUntilLost(watched.ended).then(() => {
      if (paths.lost && !watched.ended.aborted && this.sent && paths.lastReceivedMs < this.startedAtMs) this.#opts.onSilent(this)
    })
    return watched
  }

  /** Throws if a failure response is not passed on, since another upstream has granted a permit or has answered. */
  async #checkIsFinal (answer: RelayAnswer): Promise<void> {
    const { context: { budget }, race, mayRepeat, next } = this.#state
    const retried = mayRepeat && budget.left >= 1 && this.#hasOther && await next.find()
    if (!retried) await race.waitUntilAlone(this)
    if (!retried && this.cancelCause === undefined) return
    discardAnswer(this.#state.context, this.name, answer)
    throw new UpstreamError(`${this.name} responded with ${answer.status}`, { mayHaveRun: true, failed: true })
  }

  /** Failures of an exchange that was cancelled count only if its upstream was silent. */
  #recordFailure (error: UpstreamError): void {
    const { context: { run, opts } } = this.#state
    const endedHere = run.signal.aborted || (this.cancelCause !== undefined && !this.silent && !error.failed)
    if (endedHere) return
    if (error.refused) this.#recordRefusal(error)
    else this.#recordOutcome(error.unreachable ? UpstreamOutcome.Unreachable : UpstreamOutcome.Failed, { conclusive: exceedsBound(error) })
    if (error.interrupted && error.unreachable) opts.onClosedUnanswered(this.name)
  }

  /** A refusal without a backoff means that the upstream is full: counts it as a call that took the whole latency target. */
  #recordRefusal ({ full }: UpstreamError): void {
    const { context: { opts, picker, route }, pool, candidates } = this.#state
    if (opts.backoffs.remainingMs(this.name) > 0) return
    picker.recordLatency(this.name, route.spec.ttftTargetMs)
    // An upstream that starts to drain refuses requests as well, and is then no longer a candidate.
    if (!full || !candidates.some(({ name }) => name === this.name)) return
    opts.pools.recordFull(pool)
    this.#opts.picked.slot.release(PoolCallOutcome.Full)
  }

  #recordDuration (durationMs: number): void {
    const { context: { opts: { pools }, route, callDurations }, pool, kind, candidates } = this.#state
    callDurations.record(kind, durationMs)
    pools.recordAnswer(pool, this.name, { durationMs, targetMs: route.spec.ttftTargetMs, upstreamCount: candidates.length })
  }

  #recordOutcome (outcome: UpstreamOutcome, opts: Pick<OutcomeOptions, 'conclusive'> = {}): void {
    const { context: { health }, candidates } = this.#state
    health.record(this.name, outcome, candidates.map(({ name }) => name), opts)
  }

  /** An upstream that stands still has not read that its call was cancelled. */
  get #heldWhileSilent (): boolean {
    return this.sent && this.silent && this.cancelCause === CancelCause.Superseded
  }

  async #releaseOnceHeard (): Promise<void> {
    const { silence, run, stopSignal } = this.#state.context
    await silence.waitUntilHeard(this.name, run.remainingMs, stopSignal)
    this.#opts.picked.slot.release(PoolCallOutcome.Failed)
  }

  get #hasOther (): boolean {
    const { context: { health }, tried, candidates } = this.#state
    return candidates.some(({ name }) => !tried.has(name) && !health.isSuspect(name))
  }

  get #target () {
    const { name, address } = this.#opts.picked.upstream
    return { instance: name, address }
  }
}
