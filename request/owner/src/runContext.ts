import { setMaxListeners } from 'node:events'
import { type Clock, STOPPED } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { AnswerEventKind } from '@reelspan/core.messages'
import { type RequestRecord } from '@reelspan/request.records'

export interface RunContextOptions {
  clock: Clock
  record: RequestRecord
  deadlineMs: number
  /** When the request arrived, if that was before its run began. */
  arrivedAtMs?: number
  /** Unique within this incarnation. */
  requestId: string
  /** Whether this box is still the incarnation that started the run. */
  isCurrentIncarnation: () => boolean
  tryAcquireRetry: () => boolean
  /** Whether no other box can have run the request in the meantime. */
  isExclusive: () => boolean
  /** Why the request must not be sent to any upstream now, or undefined if it may be. */
  refusal: () => ReelspanError | undefined
}

/** Retry delay of a refusal that has no better estimate. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** One run of a request: its deadline, its end, and whether an upstream may have begun it. */
export class RunContext {
  readonly record: RequestRecord
  readonly #opts: RunContextOptions
  readonly #abort = new AbortController()
  readonly #startedAtMs: number
  /** Sends of which it is not known that their upstream has not begun the request. */
  readonly #possibleRuns = new Set<symbol>()
  #lastSentMs?: number
  #attempt = 0

  constructor (opts: RunContextOptions) {
    this.#opts = opts
    setMaxListeners(0, this.#abort.signal)
    this.record = opts.record
    this.#startedAtMs = opts.arrivedAtMs ?? opts.clock.nowMs()
  }

  /** Aborted when the run ends for any reason. */
  get signal (): AbortSignal {
    return this.#abort.signal
  }

  get mayHaveRun (): boolean {
    return this.#possibleRuns.size > 0
  }

  get elapsedMs (): number {
    return this.#opts.clock.nowMs() - this.#startedAtMs
  }

  /** When the request was last sent to an upstream, relative to the start of the run. */
  get lastSentMs (): number | undefined {
    return this.#lastSentMs
  }

  get remainingMs (): number {
    return this.#opts.deadlineMs - this.elapsedMs
  }

  /** Id of the current attempt. Holds of earlier attempts are not confirmed to schedulers, so they are released. */
  get currentRequestId (): string {
    return `${this.#opts.requestId}.${this.#attempt}`
  }

  nextAttempt (): string {
    this.#attempt++
    return this.currentRequestId
  }

  tryAcquireRetry (): boolean {
    return this.#opts.tryAcquireRetry()
  }

  /** Called right before a message that an upstream acts on: processes pending input, then throws if the run must not go on. */
  async checkBeforeSend (): Promise<void> {
    await this.#opts.clock.awaitPendingInput()
    if (!this.#opts.isCurrentIncarnation()) this.end(new ReelspanError(ErrorCode.OwnerGone, 'this box was declared gone by its peers'))
    const refusal = this.#opts.refusal()
    if (refusal) this.end(refusal)
    if (this.remainingMs <= 0) this.#endAtDeadline()
    this.throwIfEnded()
  }

  /** Ends a run that has not been sent to any upstream yet, if it must not be sent any more. */
  endIfRefused (): void {
    if (this.#lastSentMs !== undefined) return
    const refusal = this.#opts.refusal()
    if (refusal) this.end(refusal)
  }

  throwIfEnded (): void {
    if (this.signal.aborted) throw new RunEnded()
  }

  /**
   * Sends a message that makes an upstream begin the request. From then on the request may have run,
   * unless the upstream is known not to have begun it and no other attempt may have run.
   */
  dispatch<T> (send: () => Promise<T>): Promise<T> {
    return this.dispatchOnSend((markSent) => {
      markSent()
      return send()
    })
  }

  /** Like `dispatch`, but the request counts as possibly run only from the moment at which `send` calls its argument. */
  async dispatchOnSend<T> (send: (sent: () => void) => Promise<T>): Promise<T> {
    const id = Symbol('send')
    const markSent = () => {
      this.#possibleRuns.add(id)
      this.#lastSentMs = this.elapsedMs
    }
    try {
      return await send(markSent)
    } catch (thrown) {
      if (toReelspanError(thrown).verdict === Verdict.NotRun) this.#possibleRuns.delete(id)
      else markSent()
      throw thrown
    }
  }

  /** Ends the request with an error as its final answer. Later calls have no effect. */
  end (error: ReelspanError): void {
    if (error instanceof RunEnded) return
    const verdict = this.mayHaveRun || !this.#opts.isExclusive() ? Verdict.MayHaveRun : Verdict.NotRun
    this.#append(verdict, error)
    this.#abort.abort(STOPPED)
  }

  finish (promptTokens?: number): void {
    this.#append(Verdict.Finished, undefined, promptTokens)
    this.#abort.abort(STOPPED)
  }

  /** Aborts the run's signal. Adds a final answer if the run has none. */
  close (): void {
    if (!this.record.final) this.end(new ReelspanError(ErrorCode.Internal, 'the run ended without an answer'))
    this.#abort.abort(STOPPED)
  }

  async enforceDeadline (): Promise<void> {
    const { clock } = this.#opts
    await clock.sleep(this.remainingMs, { signal: this.signal })
    // After a pause of this process, an answer that arrived in time may still be unread.
    await clock.awaitPendingInput()
    if (!this.signal.aborted) this.#endAtDeadline()
  }

  #endAtDeadline (): void {
    this.end(new ReelspanError(ErrorCode.DeadlinePassed, 'the deadline has passed'))
  }

  #append (verdict: Verdict, error?: ReelspanError, promptTokens?: number): void {
    this.record.append({
      kind: AnswerEventKind.Final,
      verdict,
      code: error?.code,
      message: error?.message,
      retryAfterMs: error?.retryAfterMs ?? (verdict === Verdict.NotRun && !error?.retryFutile ? DEFAULT_RETRY_AFTER_MS : undefined),
      eventCount: this.record.events.length,
      promptTokens,
    }, this.#opts.clock.nowMs())
  }
}

/** Unwinds a run that already has its final answer. */
class RunEnded extends ReelspanError {
  constructor () {
    super(ErrorCode.Cancelled, 'the run has ended')
  }
}
