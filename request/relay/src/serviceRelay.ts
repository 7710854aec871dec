import { type ListedUpstream } from '@reelspan/config.fleet'
import { ErrorCode } from '@reelspan/core.error'
import { PoolCallOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import { type AnswerTimes, passAnswer } from './passAnswer.js'
import { DelegatedRelay } from './delegatedRelay.js'
import { drainAnswer } from './drainAnswer.js'
import { mustDelegate } from './mustDelegate.js'
import { withEndReport } from './withEndReport.js'
import { type PermittedUpstream, pickPermittedUpstream, noUpstreamError } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'
import { sendToUpstream } from './sendToUpstream.js'
import { untilLost } from './untilLost.js'

/** Bound on attempts including failed connections, which do not count toward the attempts of a route. */
const MAX_ATTEMPTS = 6
const FIRST_CLIENT_ERROR = 400
const FIRST_SERVER_ERROR = 500
/** A last attempt that took less than this share of the one before says little about the call. */
const MIN_UNANSWERED_SHARE = 0.5
/** Latency targets after which an unresponsive upstream is abandoned for another one; a later answer has little value. */
const TIMEOUT_TARGETS = 1.5

/** Relays a request to a service upstream. */
export class ServiceRelay {
  readonly #context: RelayContext
  readonly #pool: string
  readonly #tried = new Set<string>()
  /** Upstream of the next attempt, if already picked. */
  #next?: PermittedUpstream
  /** The pick of the next upstream while it runs. */
  #pending?: Promise<boolean>
  #ended = false
  /** Aborts the present attempt on timeout. Undefined if it must not be aborted. */
  #attemptTimeout?: AbortController
  #sent = 0
  #sentThisAttempt = false
  #answered = false
  #attemptStartedAtMs = 0
  /** How long the longest attempt took that was given up for another upstream. */
  #givenUpAfterMs?: number

  constructor (context: RelayContext, pool: string) {
    this.#context = context
    this.#pool = pool
  }

  async execute (times: AnswerTimes): Promise<void> {
    try {
      await this.#runAttempts(times)
    } finally {
      this.#ended = true
      this.#releaseNext()
      this.#recordUnanswered()
    }
  }

  async #runAttempts (times: AnswerTimes): Promise<void> {
    const { run } = this.#context
    for (let attempt = 1; ; attempt++) {
      await run.checkBeforeSend()
      if (mustDelegate(this.#context)) return new DelegatedRelay(this.#context, { attemptsUsed: this.#sent }).execute(times)
      const picked = this.#next ?? await this.#pick()
      this.#next = undefined
      const { upstream } = picked
      try {
        await this.#runAttempt(picked, attempt, times)
        return
      } catch (thrown) {
        run.throwIfEnded()
        this.#tried.add(upstream.name)
        if (!await this.#mayRetry(thrown, attempt)) throw thrown
        this.#context.logDecision(LogEvent.RequestRetried, { upstream: upstream.name, reason: (thrown as Error).message, mayHaveRun: run.mayHaveRun })
      } finally {
        picked.permit.release()
        picked.slot.release(PoolCallOutcome.NotSent)
      }
    }
  }

  async #runAttempt (picked: PermittedUpstream, attempt: number, times: AnswerTimes): Promise<void> {
    const { opts: { clock }, picker, logDecision, run } = this.#context
    const { upstream } = picked
    const startedAtMs = clock.nowMs()
    this.#attemptStartedAtMs = startedAtMs
    picker.recordStart(upstream.name)
    const target = { instance: upstream.name, address: upstream.address }
    try {
      await withEndReport(this.#context, target, async (progress) => {
        const answer = await this.#send(picked, attempt, (signal) => progress.recordSent(signal))
        this.#answered = true
        const durationMs = clock.nowMs() - startedAtMs
        const failed = answer.status >= FIRST_SERVER_ERROR
        picker.recordLatency(upstream.name, durationMs)
        if (!failed) this.#recordDuration(upstream, durationMs)
        logDecision(LogEvent.RequestSent, { upstream: upstream.name, attempt, status: answer.status, framing: answer.framing, atMs: Math.round(run.elapsedMs) })
        await this.#handleAnswer(upstream, answer, attempt, times)
        if (answer.status < FIRST_CLIENT_ERROR) progress.recordFinished(answer)
        this.#recordOutcome(upstream, failed ? UpstreamOutcome.Failed : UpstreamOutcome.Answered)
        picked.slot.release(failed ? PoolCallOutcome.Failed : PoolCallOutcome.Answered, durationMs)
      }, run.signal)
    } catch (thrown) {
      if (!run.signal.aborted && thrown instanceof UpstreamError) {
        if (thrown.refused) this.#recordRefusal(picked, thrown)
        else this.#recordOutcome(upstream, outcomeOf(thrown))
        if (thrown.interrupted && thrown.unreachable) this.#context.opts.onClosedUnanswered(upstream.name)
      }
      throw thrown
    } finally {
      picker.recordEnd(upstream.name)
    }
  }

  #send ({ upstream, permit }: PermittedUpstream, attempt: number, onSend: (signal: AbortSignal) => void): Promise<RelayAnswer> {
    const { run } = this.#context
    const target = { instance: upstream.name, address: upstream.address }
    this.#sentThisAttempt = false
    return untilLost(this.#context, this.#attemptSignal(upstream, attempt), () => this.#isAttemptLost(), (signal) => sendToUpstream(this.#context, { target, permit }, {
      signal,
      deadlineMs: run.remainingMs,
      onSend: () => {
        this.#sent++
        this.#sentThisAttempt = true
        onSend(signal)
      },
    }))
  }

  /** Whether the attempt has no connection, or may be repeated and its connection has gone silent like all others. */
  #isAttemptLost (): boolean {
    const { paths, route: { spec }, budget } = this.#context
    if (!this.#sentThisAttempt) return true
    return !spec.notRepeatable && this.#sent < spec.maxAttempts && budget.left >= 1 && paths.lastReceivedMs < this.#attemptStartedAtMs
  }

  /** A refusal without a backoff means that the upstream is full: counts it as a call that took the whole latency target. */
  #recordRefusal ({ upstream: { name }, slot }: PermittedUpstream, { full }: UpstreamError): void {
    const { opts, picker, route } = this.#context
    if (opts.backoffs.remainingMs(name) > 0) return
    picker.recordLatency(name, route.spec.ttftTargetMs)
    // An upstream that starts to drain refuses requests as well, and is then no longer a candidate.
    if (!full || !this.#candidates().some((candidate) => candidate.name === name)) return
    opts.pools.recordFull(this.#pool)
    slot.release(PoolCallOutcome.Full)
  }

  #recordDuration ({ name }: ListedUpstream, durationMs: number): void {
    const { opts: { pools }, route, callDurations } = this.#context
    callDurations.record(this.#kind, durationMs)
    pools.recordAnswer(this.#pool, name, { durationMs, targetMs: route.spec.ttftTargetMs, upstreamCount: this.#candidates().length })
  }

  /** Records a call that two upstreams did not answer until its deadline: it is probably a long one, of which no duration is ever known otherwise. */
  #recordUnanswered (): void {
    const { opts: { clock }, run, callDurations } = this.#context
    if (this.#givenUpAfterMs === undefined || this.#answered || run.record.final?.code !== ErrorCode.DeadlinePassed) return
    const lastAttemptMs = clock.nowMs() - this.#attemptStartedAtMs
    if (lastAttemptMs >= MIN_UNANSWERED_SHARE * this.#givenUpAfterMs) callDurations.record(this.#kind, run.elapsedMs)
  }

  /** Signal of an attempt. Includes a timeout if another attempt may follow. */
  #attemptSignal (upstream: ListedUpstream, attempt: number): AbortSignal {
    const { run, route } = this.#context
    this.#attemptTimeout = undefined
    if (route.spec.notRepeatable || attempt >= route.spec.maxAttempts) return run.signal
    const timeout = new AbortController()
    this.#attemptTimeout = timeout
    void this.#abortOnTimeout(upstream, timeout)
    return AbortSignal.any([run.signal, timeout.signal])
  }

  /** Aborts an unresponsive attempt once another upstream is available. Otherwise keeps waiting, since the answer is useful as long as the caller is connected. */
  async #abortOnTimeout (upstream: ListedUpstream, timeout: AbortController): Promise<void> {
    const { opts, run, route, caller, budget, callDurations } = this.#context
    const timeoutMs = Math.min(run.remainingMs / 2, TIMEOUT_TARGETS * route.spec.ttftTargetMs)
    const startedAtMs = this.#attemptStartedAtMs
    while (!timeout.signal.aborted) {
      await opts.clock.sleep(timeoutMs, { signal: run.signal })
      if (run.signal.aborted || caller.begun || this.#attemptTimeout !== timeout) return
      // The call is probably a long one, which another upstream would not complete before the deadline either.
      const elapsedMs = opts.clock.nowMs() - startedAtMs
      if ((callDurations.medianAboveMs(this.#kind, elapsedMs) ?? 0) > run.remainingMs) continue
      if (budget.left < 1 || !(mustDelegate(this.#context) || await this.#findNextWhileRunning(upstream)) || caller.begun) continue
      this.#givenUpAfterMs = Math.max(this.#givenUpAfterMs ?? 0, elapsedMs)
      timeout.abort()
    }
  }

  /** Passes the answer on, or throws if it is a failure and another upstream may succeed. */
  async #handleAnswer (upstream: ListedUpstream, answer: RelayAnswer, attempt: number, times: AnswerTimes): Promise<void> {
    const { route, run, budget } = this.#context
    const mayRetryElsewhere = answer.status >= FIRST_SERVER_ERROR && !route.spec.notRepeatable && this.#sent < route.spec.maxAttempts && attempt < MAX_ATTEMPTS
    // The failure response is dropped only once another upstream has granted a permit.
    if (mayRetryElsewhere && budget.left >= 1 && this.#hasOther(upstream) && await this.#findNext(upstream)) {
      void drainAnswer(answer)
      throw new UpstreamError(`${upstream.name} responded with ${answer.status}`, { mayHaveRun: true, failed: true })
    }
    run.throwIfEnded()
    await passAnswer(this.#context, answer, times)
  }

  async #mayRetry (thrown: unknown, attempt: number): Promise<boolean> {
    const { run, route, budget, caller } = this.#context
    if (!(thrown instanceof UpstreamError) || caller.begun || attempt >= MAX_ATTEMPTS) return false
    if (run.mayHaveRun && route.spec.notRepeatable) return false
    // No upstream has received the request yet, so the next attempt is not a retry.
    if (this.#sent === 0) return true
    return this.#sent < route.spec.maxAttempts && (mustDelegate(this.#context) || await this.#findNext()) && budget.tryAcquireRetry()
  }

  /**
   * Picks the upstream of the next attempt, if there is one.
   *
   * @param failed upstream of the present attempt
   */
  async #findNext (failed?: ListedUpstream): Promise<boolean> {
    if (this.#next) return true
    // The timeout of an attempt and its end can both look for the next upstream. A second pick would leave the slot and the permit of the first one unreleased.
    this.#pending ??= this.#pickNext(failed).finally(() => { this.#pending = undefined })
    return this.#pending
  }

  async #pickNext (failed?: ListedUpstream): Promise<boolean> {
    const { picked } = await pickPermittedUpstream(this.#context, this.#pool, new Set([...this.#tried, ...failed ? [failed.name] : []]))
    this.#next = picked
    if (this.#ended) this.#releaseNext()
    return picked !== undefined
  }

  /** Like `#findNext`, during an attempt. Returns false if the run ends meanwhile. */
  async #findNextWhileRunning (upstream: ListedUpstream): Promise<boolean> {
    const { run } = this.#context
    return this.#findNext(upstream).catch((thrown: unknown) => {
      if (run.signal.aborted) return false
      throw thrown
    })
  }

  #releaseNext (): void {
    this.#next?.permit.release()
    this.#next?.slot.release(PoolCallOutcome.NotSent)
    this.#next = undefined
  }

  /** Calls of different routes to one pool differ in duration. */
  get #kind (): string {
    return `${this.#context.route.name}|${this.#pool}`
  }

  #hasOther (upstream: ListedUpstream): boolean {
    const { health } = this.#context
    return this.#untriedOthers(upstream).some(({ name }) => !health.isSuspect(name))
  }

  #untriedOthers (upstream: ListedUpstream): ListedUpstream[] {
    return this.#candidates().filter(({ name }) => name !== upstream.name && !this.#tried.has(name))
  }

  async #pick (): Promise<PermittedUpstream> {
    const { picked, refusal, blocked } = await pickPermittedUpstream(this.#context, this.#pool, this.#tried)
    if (refusal) throw refusal
    if (!picked) throw noUpstreamError(this.#context, this.#pool, blocked)
    return picked
  }

  #candidates (): readonly ListedUpstream[] {
    return this.#context.opts.fleet().takingWork(this.#pool)
  }

  #recordOutcome (upstream: ListedUpstream, outcome: UpstreamOutcome): void {
    this.#context.health.record(upstream.name, outcome, this.#candidates().map(({ name }) => name))
  }
}

function outcomeOf (error: UpstreamError): UpstreamOutcome {
  return error.unreachable ? UpstreamOutcome.Unreachable : UpstreamOutcome.Failed
}
