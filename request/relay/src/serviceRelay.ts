import { type ListedUpstream } from '@reelspan/config.fleet'
import { UpstreamOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import { type AnswerTimes, passAnswer } from './passAnswer.js'
import { dropAnswer } from './dropAnswer.js'
import { notingBreak } from './notingBreak.js'
import { type PermittedUpstream, pickPermitted, refuseUnpicked } from './pickPermitted.js'
import { type RelayContext } from './relayContext.js'
import { sendToUpstream } from './sendToUpstream.js'

/** Connections that could not be opened reach no upstream and do not count as attempts; this bounds them. */
const MAX_TRIES = 6
const FIRST_SERVER_ERROR = 500
/** Latency targets after which a silent upstream is given up for another one: later, the answer is worth little anyway. */
const PATIENCE_TARGETS = 1.5

/** Relays a request to a plain service. */
export class ServiceRelay {
  readonly #context: RelayContext
  readonly #pool: string
  readonly #tried = new Set<string>()
  /** Where the next attempt goes. */
  #next?: PermittedUpstream
  /** Gives the present attempt up, if it may be given up. */
  #silent?: AbortController
  #sent = 0

  constructor (context: RelayContext, pool: string) {
    this.#context = context
    this.#pool = pool
  }

  async carryOut (times: AnswerTimes): Promise<void> {
    try {
      await this.#attempts(times)
    } finally {
      this.#dropNext()
    }
  }

  async #attempts (times: AnswerTimes): Promise<void> {
    const { run } = this.#context
    for (let attempt = 1; ; attempt++) {
      await run.checkBeforeSend()
      const picked = this.#next ?? await this.#pick()
      this.#next = undefined
      const { upstream } = picked
      try {
        await this.#tryAt(picked, attempt, times)
        return
      } catch (thrown) {
        run.throwIfEnded()
        this.#tried.add(upstream.name)
        if (!await this.#mayRetry(thrown, attempt)) throw thrown
        this.#context.decided(LogEvent.RequestRetried, { upstream: upstream.name, reason: (thrown as Error).message, mayHaveRun: run.mayHaveRun })
      } finally {
        picked.permit.release()
      }
    }
  }

  async #tryAt (picked: PermittedUpstream, attempt: number, times: AnswerTimes): Promise<void> {
    const { opts: { clock }, picker, decided, run } = this.#context
    const { upstream } = picked
    const startedAtMs = clock.nowMs()
    picker.noteStart(upstream.name)
    const target = { instance: upstream.name, address: upstream.address }
    try {
      await notingBreak(this.#context, target, async (onSend) => {
        const answer = await this.#send(picked, attempt, onSend)
        picker.noteTime(upstream.name, clock.nowMs() - startedAtMs)
        decided(LogEvent.RequestSent, { upstream: upstream.name, attempt, status: answer.status, atMs: Math.round(run.elapsedMs) })
        await this.#judge(upstream, answer, attempt, times)
        this.#note(upstream, answer.status >= FIRST_SERVER_ERROR ? UpstreamOutcome.Failed : UpstreamOutcome.Answered)
      })
    } catch (thrown) {
      if (!run.signal.aborted && thrown instanceof UpstreamError) {
        if (thrown.refused) this.#noteRefusal(upstream)
        else this.#note(upstream, outcomeOf(thrown))
        if (thrown.brokeOff && thrown.unreachable) this.#context.opts.onClosedUnanswered(upstream.name)
      }
      throw thrown
    } finally {
      picker.noteEnd(upstream.name)
    }
  }

  #send ({ upstream, permit }: PermittedUpstream, attempt: number, onSend: () => void): Promise<RelayAnswer> {
    const { run } = this.#context
    return sendToUpstream(this.#context, { target: { instance: upstream.name, address: upstream.address }, permit }, {
      signal: this.#attemptSignal(upstream, attempt),
      deadlineMs: run.leftMs,
      onSend: () => {
        this.#sent++
        onSend()
      },
    })
  }

  /** One that is full and says no more: its next calls would wait about as long as a call may take. */
  #noteRefusal ({ name }: ListedUpstream): void {
    const { opts, picker, route } = this.#context
    if (opts.backoffs.remainingMs(name) === 0) picker.noteTime(name, route.spec.ttftTargetMs)
  }

  /** While another attempt is left, silence is waited out for a part of the time only. */
  #attemptSignal (upstream: ListedUpstream, attempt: number): AbortSignal {
    const { run, route } = this.#context
    this.#silent = undefined
    if (route.spec.notRepeatable || attempt >= route.spec.maxAttempts) return run.signal
    const silent = new AbortController()
    this.#silent = silent
    void this.#giveUpWhenSilent(upstream, silent)
    return AbortSignal.any([run.signal, silent.signal])
  }

  /** What cannot be sent elsewhere is waited for: its answer is of use as long as the caller is there. */
  async #giveUpWhenSilent (upstream: ListedUpstream, silent: AbortController): Promise<void> {
    const { opts, run, route, caller, budget } = this.#context
    const patienceMs = Math.min(run.leftMs / 2, PATIENCE_TARGETS * route.spec.ttftTargetMs)
    while (!silent.signal.aborted) {
      await opts.clock.sleep(patienceMs, { signal: run.signal })
      if (run.signal.aborted || caller.begun || this.#silent !== silent) return
      if (budget.left >= 1 && await this.#findNextWhileRunning(upstream) && !caller.begun) silent.abort()
    }
  }

  /** Passes the answer on, unless another upstream may give a better one. */
  async #judge (upstream: ListedUpstream, answer: RelayAnswer, attempt: number, times: AnswerTimes): Promise<void> {
    const { route, run, budget } = this.#context
    const better = answer.status >= FIRST_SERVER_ERROR && !route.spec.notRepeatable && this.#sent < route.spec.maxAttempts && attempt < MAX_TRIES
    // What can be passed on is not given up before there is another upstream that takes the request.
    if (better && budget.left >= 1 && this.#hasOther(upstream) && await this.#findNext(upstream)) {
      void dropAnswer(answer)
      throw new UpstreamError(`${upstream.name} answered ${answer.status}`, { mayHaveRun: true, failed: true })
    }
    run.throwIfEnded()
    await passAnswer(this.#context, answer, times)
  }

  async #mayRetry (thrown: unknown, attempt: number): Promise<boolean> {
    const { run, route, budget, caller } = this.#context
    if (!(thrown instanceof UpstreamError) || caller.begun || attempt >= MAX_TRIES) return false
    if (run.mayHaveRun && route.spec.notRepeatable) return false
    // Nothing has reached an upstream yet: what follows is no repetition.
    if (this.#sent === 0) return true
    return this.#sent < route.spec.maxAttempts && await this.#findNext() && budget.takeRetry()
  }

  /**
   * Finds where another attempt goes, if there is such an upstream.
   *
   * @param failed where the present one is
   */
  async #findNext (failed?: ListedUpstream): Promise<boolean> {
    if (this.#next) return true
    const { picked } = await pickPermitted(this.#context, this.#pool, new Set([...this.#tried, ...failed ? [failed.name] : []]))
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

  #dropNext (): void {
    this.#next?.permit.release()
    this.#next = undefined
  }

  #hasOther (upstream: ListedUpstream): boolean {
    const { health } = this.#context
    return this.#untriedOthers(upstream).some(({ name }) => !health.isSuspect(name))
  }

  #untriedOthers (upstream: ListedUpstream): ListedUpstream[] {
    return this.#listed().filter(({ name }) => name !== upstream.name && !this.#tried.has(name))
  }

  async #pick (): Promise<PermittedUpstream> {
    const { picked, waits } = await pickPermitted(this.#context, this.#pool, this.#tried)
    if (!picked) throw refuseUnpicked(this.#context, this.#pool, waits)
    return picked
  }

  #listed (): readonly ListedUpstream[] {
    return this.#context.opts.fleet().takingWork(this.#pool)
  }

  #note (upstream: ListedUpstream, outcome: UpstreamOutcome): void {
    this.#context.health.note(upstream.name, outcome, this.#listed().map(({ name }) => name))
  }
}

function outcomeOf (error: UpstreamError): UpstreamOutcome {
  return error.unreachable ? UpstreamOutcome.Unreachable : UpstreamOutcome.Failed
}
