import { type ListedUpstream } from '@reelspan/config.fleet'
import { UpstreamOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import { type AnswerTimes, passAnswer } from './passAnswer.js'
import { drainAnswer } from './drainAnswer.js'
import { withInterruptionReport } from './withInterruptionReport.js'
import { type PermittedUpstream, pickPermittedUpstream, noUpstreamError } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'
import { sendToUpstream } from './sendToUpstream.js'

/** Connections that could not be opened reach no upstream and do not count as attempts; this bounds them. */
const MAX_ATTEMPTS = 6
const FIRST_SERVER_ERROR = 500
/** Latency targets after which a silent upstream is given up for another one: later, the answer is worth little anyway. */
const TIMEOUT_TARGETS = 1.5

/** Relays a request to a plain service. */
export class ServiceRelay {
  readonly #context: RelayContext
  readonly #pool: string
  readonly #tried = new Set<string>()
  /** Where the next attempt goes. */
  #next?: PermittedUpstream
  /** Gives the present attempt up, if it may be given up. */
  #attemptTimeout?: AbortController
  #sent = 0

  constructor (context: RelayContext, pool: string) {
    this.#context = context
    this.#pool = pool
  }

  async execute (times: AnswerTimes): Promise<void> {
    try {
      await this.#runAttempts(times)
    } finally {
      this.#releaseNext()
    }
  }

  async #runAttempts (times: AnswerTimes): Promise<void> {
    const { run } = this.#context
    for (let attempt = 1; ; attempt++) {
      await run.checkBeforeSend()
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
      }
    }
  }

  async #runAttempt (picked: PermittedUpstream, attempt: number, times: AnswerTimes): Promise<void> {
    const { opts: { clock }, picker, logDecision, run } = this.#context
    const { upstream } = picked
    const startedAtMs = clock.nowMs()
    picker.recordStart(upstream.name)
    const target = { instance: upstream.name, address: upstream.address }
    try {
      await withInterruptionReport(this.#context, target, async (onSend) => {
        const answer = await this.#send(picked, attempt, onSend)
        picker.recordLatency(upstream.name, clock.nowMs() - startedAtMs)
        logDecision(LogEvent.RequestSent, { upstream: upstream.name, attempt, status: answer.status, atMs: Math.round(run.elapsedMs) })
        await this.#handleAnswer(upstream, answer, attempt, times)
        this.#recordOutcome(upstream, answer.status >= FIRST_SERVER_ERROR ? UpstreamOutcome.Failed : UpstreamOutcome.Answered)
      })
    } catch (thrown) {
      if (!run.signal.aborted && thrown instanceof UpstreamError) {
        if (thrown.refused) this.#recordRefusal(upstream)
        else this.#recordOutcome(upstream, outcomeOf(thrown))
        if (thrown.brokeOff && thrown.unreachable) this.#context.opts.onClosedUnanswered(upstream.name)
      }
      throw thrown
    } finally {
      picker.recordEnd(upstream.name)
    }
  }

  #send ({ upstream, permit }: PermittedUpstream, attempt: number, onSend: () => void): Promise<RelayAnswer> {
    const { run } = this.#context
    return sendToUpstream(this.#context, { target: { instance: upstream.name, address: upstream.address }, permit }, {
      signal: this.#attemptSignal(upstream, attempt),
      deadlineMs: run.remainingMs,
      onSend: () => {
        this.#sent++
        onSend()
      },
    })
  }

  /** One that is full and says no more: its next calls would wait about as long as a call may take. */
  #recordRefusal ({ name }: ListedUpstream): void {
    const { opts, picker, route } = this.#context
    if (opts.backoffs.remainingMs(name) === 0) picker.recordLatency(name, route.spec.ttftTargetMs)
  }

  /** While another attempt is left, silence is waited out for a part of the time only. */
  #attemptSignal (upstream: ListedUpstream, attempt: number): AbortSignal {
    const { run, route } = this.#context
    this.#attemptTimeout = undefined
    if (route.spec.notRepeatable || attempt >= route.spec.maxAttempts) return run.signal
    const timeout = new AbortController()
    this.#attemptTimeout = timeout
    void this.#abortOnTimeout(upstream, timeout)
    return AbortSignal.any([run.signal, timeout.signal])
  }

  /** What cannot be sent elsewhere is waited for: its answer is of use as long as the caller is there. */
  async #abortOnTimeout (upstream: ListedUpstream, timeout: AbortController): Promise<void> {
    const { opts, run, route, caller, budget } = this.#context
    const timeoutMs = Math.min(run.remainingMs / 2, TIMEOUT_TARGETS * route.spec.ttftTargetMs)
    while (!timeout.signal.aborted) {
      await opts.clock.sleep(timeoutMs, { signal: run.signal })
      if (run.signal.aborted || caller.begun || this.#attemptTimeout !== timeout) return
      if (budget.left >= 1 && await this.#findNextWhileRunning(upstream) && !caller.begun) timeout.abort()
    }
  }

  /** Passes the answer on, unless another upstream may give a better one. */
  async #handleAnswer (upstream: ListedUpstream, answer: RelayAnswer, attempt: number, times: AnswerTimes): Promise<void> {
    const { route, run, budget } = this.#context
    const mayRetryElsewhere = answer.status >= FIRST_SERVER_ERROR && !route.spec.notRepeatable && this.#sent < route.spec.maxAttempts && attempt < MAX_ATTEMPTS
    // What can be passed on is not given up before there is another upstream that takes the request.
    if (mayRetryElsewhere && budget.left >= 1 && this.#hasOther(upstream) && await this.#findNext(upstream)) {
      void drainAnswer(answer)
      throw new UpstreamError(`${upstream.name} answered ${answer.status}`, { mayHaveRun: true, failed: true })
    }
    run.throwIfEnded()
    await passAnswer(this.#context, answer, times)
  }

  async #mayRetry (thrown: unknown, attempt: number): Promise<boolean> {
    const { run, route, budget, caller } = this.#context
    if (!(thrown instanceof UpstreamError) || caller.begun || attempt >= MAX_ATTEMPTS) return false
    if (run.mayHaveRun && route.spec.notRepeatable) return false
    // Nothing has reached an upstream yet: what follows is no repetition.
    if (this.#sent === 0) return true
    return this.#sent < route.spec.maxAttempts && await this.#findNext() && budget.tryAcquireRetry()
  }

  /**
   * Finds where another attempt goes, if there is such an upstream.
   *
   * @param failed where the present one is
   */
  async #findNext (failed?: ListedUpstream): Promise<boolean> {
    if (this.#next) return true
    const { picked } = await pickPermittedUpstream(this.#context, this.#pool, new Set([...this.#tried, ...failed ? [failed.name] : []]))
    this.#next = picked
    return picked !== undefined
  }

  /** The same beside an attempt, for a run that may end meanwhile. */
  async #findNextWhileRunning (upstream: ListedUpstream): Promise<boolean> {
    const { run } = this.#context
    return this.#findNext(upstream).catch((thrown: unknown) => {
      if (run.signal.aborted) return false
      throw thrown
    })
  }

  #releaseNext (): void {
    this.#next?.permit.release()
    this.#next = undefined
  }

  #hasOther (upstream: ListedUpstream): boolean {
    const { health } = this.#context
    return this.#untriedOthers(upstream).some(({ name }) => !health.isSuspect(name))
  }

  #untriedOthers (upstream: ListedUpstream): ListedUpstream[] {
    return this.#candidates().filter(({ name }) => name !== upstream.name && !this.#tried.has(name))
  }

  async #pick (): Promise<PermittedUpstream> {
    const { picked, blocked } = await pickPermittedUpstream(this.#context, this.#pool, this.#tried)
    if (!picked) throw noUpstreamError(this.#context, this.#pool, blocked)
    return picked
  }

  #candidates (): readonly ListedUpstream[] {
    return this.#context.opts.fleet().takingWork(this.#pool)
  }

  #recordOutcome (upstream: ListedUpstream, outcome: UpstreamOutcome): void {
    this.#context.health.note(upstream.name, outcome, this.#candidates().map(({ name }) => name))
  }
}

function outcomeOf (error: UpstreamError): UpstreamOutcome {
  return error.unreachable ? UpstreamOutcome.Unreachable : UpstreamOutcome.Failed
}
