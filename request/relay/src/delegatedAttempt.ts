import { Attempt } from './attempt.js'
import { type CompletionState } from './completionState.js'
import { DelegatedRelay } from './delegatedRelay.js'
import { type AnswerTimes } from './passAnswer.js'

/** Has a completion run by another box. */
export class DelegatedAttempt extends Attempt {
  readonly #state: CompletionState
  readonly #times: AnswerTimes

  constructor (state: CompletionState, times: AnswerTimes) {
    super(state.context.run)
    this.#state = state
    this.#times = times
  }

  get name (): string {
    return 'delegate'
  }

  /** The delegates have retried it. */
  get retryable (): boolean {
    return false
  }

  async run (): Promise<void> {
    const { context, decodeEngines, progress, version, race } = this.#state
    const own = progress.fork()
    // The box that is asked may run the request before it can say so.
    if (!context.route.spec.resumable) race.recordSent(this)
    await new DelegatedRelay(context, {
      attemptsUsed: decodeEngines.size,
      progress: own,
      version,
      signal: this.signal,
      onSent: (upstream) => {
        decodeEngines.add(upstream)
        // The delegate has sent it, even if this attempt was cancelled in the meantime.
        this.recordSent()
        race.recordSent(this)
      },
      claim: () => {
        race.claim(this)
        this.#state.progress = own
      },
      hasOther: () => race.othersOf(this).length > 0,
    }).execute(this.#times)
  }
}
