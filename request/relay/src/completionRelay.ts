import { LogEvent } from '@reelspan/telemetry.log'
import { type PromptSizes, UpstreamError } from '@reelspan/upstream.client'
import { errorMessage } from '@reelspan/core.error'
import { type Attempt, CancelCause } from './attempt.js'
import { type AttemptFailure } from './attemptRace.js'
import { CompletionAttempt } from './completionAttempt.js'
import { CompletionState } from './completionState.js'
import { DelegatedAttempt } from './delegatedAttempt.js'
import { type AnswerTimes } from './passAnswer.js'
import { type RelayContext } from './relayContext.js'
import { mustDelegate } from './mustDelegate.js'

/** Bound on placements of one request, including those that did not reach an engine. */
const MAX_ATTEMPTS = 4

/** Relays a request to a model's engines. While an attempt is silent, another one is made beside it. */
export class CompletionRelay {
  readonly #context: RelayContext
  readonly #state: CompletionState
  #times?: AnswerTimes
  /** Whether another box was asked beside an attempt that was sent. */
  #delegatedBeside = false

  constructor (context: RelayContext, model: string, prompt: PromptSizes) {
    this.#context = context
    this.#state = new CompletionState(context, model, prompt, (failure) => this.#onFailedBeside(failure))
  }

  async execute (times: AnswerTimes): Promise<void> {
    const { run, caller } = this.#context
    const { race, version, decodeEngines } = this.#state
    this.#times = times
    await version.find()
    try {
      for (;;) {
        await run.checkBeforeSend()
        const failure = await race.run(this.#createAttempt())
        if (!failure) return
        run.throwIfEnded()
        // A placement may have been refused only since this box avoids the engines that it cannot reach.
        const mayStillDelegate = failure.attempt.retryable && mustDelegate(this.#context) && decodeEngines.size === 0 && !caller.begun
        if (!mayStillDelegate) this.#checkRetry(failure)
      }
    } finally {
      race.end()
    }
  }

  #createAttempt (opts: { beside?: boolean } = {}): Attempt {
    const times = this.#times as AnswerTimes
    if (mustDelegate(this.#context)) return new DelegatedAttempt(this.#state, times)
    return new CompletionAttempt(this.#state, { nth: this.#state.placements + 1, times, beside: opts.beside ?? false, onSilent: (attempt) => this.#onSilent(attempt) })
  }

  /** Takes a retry from the budget, or throws the failure. */
  #checkRetry ({ attempt, error }: AttemptFailure): void {
    const { run, route, caller, budget, logDecision } = this.#context
    const reason = errorMessage(error)
    // An attempt that reached no engine is not repeated by the next one.
    const costsRetry = !(attempt instanceof CompletionAttempt) || attempt.contacted
    if (attempt.retryable && error instanceof UpstreamError && this.#mayAttemptAgain && (!costsRetry || budget.tryAcquireRetry())) {
      logDecision(LogEvent.RequestRetried, { attempt: this.#state.placements, reason, mayHaveRun: run.mayHaveRun })
      return
    }
    logDecision(LogEvent.RequestNotRetried, { attempt: this.#state.placements, reason, attemptsLeft: route.spec.maxAttempts - this.#state.decodeEngines.size, retriesLeft: Math.floor(budget.left), begun: caller.begun })
    throw error
  }

  get #mayAttemptAgain (): boolean {
    return this.#state.placements < MAX_ATTEMPTS && this.#state.mayAttemptAgain
  }

  /** Makes another attempt beside silent ones, which stay open. A later one that was not sent yet is replaced. */
  #onSilent (attempt: CompletionAttempt): void {
    const [first] = this.#state.race.open
    if (first !== attempt && !attempt.sent) attempt.cancel(CancelCause.SilentToo, first)
    this.#attemptBeside()
  }

  #attemptBeside (): void {
    const { run, budget } = this.#context
    const { race } = this.#state
    if (run.signal.aborted || !this.#mayJoin || !this.#mayAttemptAgain) return
    const mayJoin = mustDelegate(this.#context) ? this.#mayDelegateBeside(race.open[0]) : budget.left >= 1
    if (mayJoin) race.join(this.#createAttempt({ beside: true }))
  }

  /** Whether a single attempt is open, or several of which none can be expected to go on soon. */
  get #mayJoin (): boolean {
    const { open } = this.#state.race
    const isStuck = (attempt: Attempt) => attempt instanceof CompletionAttempt && attempt.sent && attempt.silent
    return open.length === 1 ? open[0] instanceof CompletionAttempt : open.length > 1 && open.every(isStuck)
  }

  /** Another box is asked once to run a request that may have run, and a retry is taken for it. */
  #mayDelegateBeside ({ sent }: Attempt): boolean {
    const { run, budget } = this.#context
    if (!sent && !run.mayHaveRun) return true
    if (this.#delegatedBeside || !budget.tryAcquireRetry()) return false
    this.#delegatedBeside = true
    return true
  }

  #onFailedBeside ({ attempt, error }: AttemptFailure): void {
    const { run, logDecision } = this.#context
    const { race } = this.#state
    if (run.signal.aborted) return
    logDecision(LogEvent.AttemptFailed, { at: attempt.name, reason: errorMessage(error), goesOn: race.open.map(({ name }) => name) })
    const [other] = race.open
    // One that had no place would have none now.
    if (error instanceof UpstreamError && other instanceof CompletionAttempt && other.silent) this.#attemptBeside()
  }
}
