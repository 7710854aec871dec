import { errorMessage, ErrorCode } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { UpstreamError } from '@reelspan/upstream.client'
import { type Attempt } from './attempt.js'
import { type AttemptFailure } from './attemptRace.js'
import { checkServiceOrigin } from './checkServiceOrigin.js'
import { DelegatedCall } from './delegatedCall.js'
import { mustDelegate } from './mustDelegate.js'
import { type AnswerTimes } from './passAnswer.js'
import { noUpstreamError, type PermittedUpstream, pickPermittedUpstream } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'
import { ServiceAttempt } from './serviceAttempt.js'
import { MAX_ATTEMPTS, ServiceState } from './serviceState.js'

/** A last attempt that took less than this share of the one before says little about the call. */
const MIN_UNANSWERED_SHARE = 0.5

/** Relays a request to a service upstream. While an attempt is silent, another one is made beside it. */
export class ServiceRelay {
  readonly #context: RelayContext
  readonly #state: ServiceState
  readonly #times: AnswerTimes
  #joining = false
  /** Whether another box was asked beside an open attempt. */
  #delegatedBeside = false
  #lastStartedAtMs = 0
  /** The longest that an attempt was silent when another one was made beside it. */
  #silentMs?: number

  constructor (context: RelayContext, pool: string, times: AnswerTimes) {
    this.#context = context
    this.#times = times
    this.#state = new ServiceState(context, pool, (failure) => this.#onFailedBeside(failure))
  }

  async execute (): Promise<void> {
    const { run, logDecision } = this.#context
    const { race, next, pool } = this.#state
    checkServiceOrigin(this.#context, pool)
    try {
      for (;;) {
        await run.checkBeforeSend()
        const failure = await race.run(await this.#createAttempt())
        if (!failure) return
        run.throwIfEnded()
        if (!await this.#mayRetry(failure)) throw failure.error
        logDecision(LogEvent.RequestRetried, { upstream: failure.attempt.name, reason: errorMessage(failure.error), mayHaveRun: run.mayHaveRun })
      }
    } finally {
      race.end()
      next.close()
      this.#recordUnanswered()
    }
  }

  async #createAttempt (): Promise<Attempt> {
    if (mustDelegate(this.#context)) return new DelegatedCall(this.#state, this.#times)
    return this.#attemptAt(this.#state.next.take() ?? await this.#pick())
  }

  #attemptAt (picked: PermittedUpstream): ServiceAttempt {
    const attempt = new ServiceAttempt(this.#state, { picked, times: this.#times, onSilent: (silent) => { void this.#onSilent(silent) } })
    this.#lastStartedAtMs = attempt.startedAtMs
    return attempt
  }

  async #pick (): Promise<PermittedUpstream> {
    const { pool, tried } = this.#state
    const { picked, refusal, blocked } = await pickPermittedUpstream(this.#context, pool, tried)
    if (refusal) throw refusal
    if (!picked) throw noUpstreamError(this.#context, pool, blocked)
    return picked
  }

  async #mayRetry ({ attempt, error }: AttemptFailure): Promise<boolean> {
    const { run, route: { spec }, budget, caller } = this.#context
    const { attempts, sent, next } = this.#state
    if (!attempt.retryable || !(error instanceof UpstreamError) || caller.begun || attempts >= MAX_ATTEMPTS) return false
    if (run.mayHaveRun && spec.notRepeatable) return false
    // No upstream has received the request yet, so the next attempt is not a retry.
    if (sent === 0) return true
    return sent < spec.maxAttempts && (mustDelegate(this.#context) || await next.find()) && budget.tryAcquireRetry()
  }

  /** Makes another attempt beside the last one, unless the call is probably a long one, which no other upstream would complete before the deadline either. */
  async #onSilent (attempt: ServiceAttempt): Promise<void> {
    const { run, callDurations, opts: { clock } } = this.#context
    const { race, kind } = this.#state
    const silentMs = clock.nowMs() - attempt.startedAtMs
    if (race.open.at(-1) !== attempt || (callDurations.medianAboveMs(kind, silentMs) ?? 0) > run.remainingMs) return
    if (await this.#attemptBeside(attempt)) this.#silentMs = Math.max(this.#silentMs ?? 0, silentMs)
  }

  #onFailedBeside ({ attempt, error }: AttemptFailure): void {
    const { run, logDecision } = this.#context
    const { open } = this.#state.race
    if (run.signal.aborted) return
    logDecision(LogEvent.AttemptFailed, { at: attempt.name, reason: errorMessage(error), goesOn: open.map(({ name }) => name) })
    const last = open.at(-1)
    if (attempt.retryable && error instanceof UpstreamError && last instanceof ServiceAttempt && last.silent) void this.#attemptBeside(last)
  }

  /** Makes another attempt beside a silent one, which stays open. Returns whether one was begun. */
  async #attemptBeside (silent: ServiceAttempt): Promise<boolean> {
    const { run } = this.#context
    if (this.#joining || !this.#mayAttemptBeside(silent)) return false
    this.#joining = true
    try {
      return await this.#joinBeside(silent)
    } catch (thrown) {
      if (run.signal.aborted) return false
      throw thrown
    } finally {
      this.#joining = false
    }
  }

  async #joinBeside (silent: ServiceAttempt): Promise<boolean> {
    const { run, logDecision } = this.#context
    const { race, next } = this.#state
    if (!mustDelegate(this.#context) && !await next.find()) return false
    await run.checkBeforeSend()
    const attempt = this.#mayAttemptBeside(silent) ? this.#createBeside() : undefined
    if (!attempt) return false
    logDecision(LogEvent.RequestRetried, { upstream: silent.name, reason: `${silent.name} is silent`, mayHaveRun: run.mayHaveRun })
    race.join(attempt)
    return true
  }

  /** Takes a retry from the budget, unless no upstream has received the request yet. */
  #createBeside (): Attempt | undefined {
    const { budget } = this.#context
    const { next, sent } = this.#state
    const delegated = mustDelegate(this.#context)
    const picked = delegated ? undefined : next.take()
    if (!delegated && !picked) return undefined
    if (sent > 0) budget.tryAcquireRetry()
    if (picked) return this.#attemptAt(picked)
    this.#delegatedBeside = true
    return new DelegatedCall(this.#state, this.#times)
  }

  #mayAttemptBeside (silent: ServiceAttempt): boolean {
    const { run, caller, budget } = this.#context
    const { race, mayRepeat } = this.#state
    if (run.signal.aborted || caller.begun || !race.open.includes(silent) || !mayRepeat || budget.left < 1) return false
    return !mustDelegate(this.#context) || !this.#delegatedBeside
  }

  /** Records a call that two upstreams did not answer until its deadline: it is probably a long one, of which no duration is ever known otherwise. */
  #recordUnanswered (): void {
    const { opts: { clock }, run, callDurations } = this.#context
    const { answered, kind } = this.#state
    if (this.#silentMs === undefined || answered || run.record.final?.code !== ErrorCode.DeadlinePassed) return
    const lastAttemptMs = clock.nowMs() - this.#lastStartedAtMs
    if (lastAttemptMs >= MIN_UNANSWERED_SHARE * this.#silentMs) callDurations.record(kind, run.elapsedMs)
  }
}
